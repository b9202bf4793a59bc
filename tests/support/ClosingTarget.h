#ifndef TESTS_SUPPORT_CLOSINGTARGET_H
#define TESTS_SUPPORT_CLOSINGTARGET_H

#include <asio.hpp>

#include <array>
#include <memory>
#include <string>

namespace lacewing {

/**
 * Answers the first request of each connection and closes the connection
 * after reading the second, before any answer byte. Counts requests.
 */
class ClosingTarget
{
public:
  explicit ClosingTarget(asio::io_context& aContext)
    : acceptor_(aContext, { asio::ip::address_v4::loopback(), 0 })
  {
    Accept();
  }

  std::uint16_t Port() const { return acceptor_.local_endpoint().port(); }
  int Runs() const { return runs_; }

private:
  struct Session
  {
    explicit Session(asio::ip::tcp::socket aSocket)
      : socket(std::move(aSocket))
    {
    }
    asio::ip::tcp::socket socket;
    std::array<char, 4096> buffer{};
    int requests = 0;
  };

  void Accept()
  {
    acceptor_.async_accept(
      [this](const asio::error_code& aError, asio::ip::tcp::socket aSocket) {
        if (aError) {
          return;
        }
        Read(std::make_shared<Session>(std::move(aSocket)));
        Accept();
      });
  }

  // Requests in these tests fit into one segment.
  void Read(const std::shared_ptr<Session>& aSession)
  {
    aSession->socket.async_read_some(
      asio::buffer(aSession->buffer),
      [this, aSession](const asio::error_code& aError, std::size_t) {
        if (aError) {
          return;
        }
        ++runs_;
        if (++aSession->requests == 2) {
          aSession->socket.close();
          return;
        }
        const std::string answer =
          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        asio::write(aSession->socket, asio::buffer(answer));
        Read(aSession);
      });
  }

  asio::ip::tcp::acceptor acceptor_;
  int runs_ = 0;
};

} // namespace lacewing

#endif // TESTS_SUPPORT_CLOSINGTARGET_H
