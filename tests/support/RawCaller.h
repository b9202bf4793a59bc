#ifndef TESTS_SUPPORT_RAWCALLER_H
#define TESTS_SUPPORT_RAWCALLER_H

#include <asio.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace lacewing {

/** A caller's connection on which a test sends arbitrary bytes. */
class RawCaller
{
public:
  explicit RawCaller(std::uint16_t aPort)
    : socket_(context_)
  {
    socket_.connect({ asio::ip::address_v4::loopback(), aPort });
  }

  void Send(const std::string& aBytes)
  {
    asio::error_code ignored;
    asio::write(socket_, asio::buffer(aBytes), ignored);
  }

  /**
   * Returns the bytes received until they contain aText, the peer closes or
   * aLimit passes.
   */
  std::string ReadUntil(
    const std::string& aText,
    std::chrono::milliseconds aLimit = std::chrono::seconds(5))
  {
    std::string received;
    const auto end = std::chrono::steady_clock::now() + aLimit;
    while (received.find(aText) == std::string::npos && !closed_ &&
           std::chrono::steady_clock::now() < end) {
      ReadSome(received, end);
    }
    return received;
  }

  /** Returns the bytes received until the peer closes or aLimit passes. */
  std::string ReadToEnd(
    std::chrono::milliseconds aLimit = std::chrono::seconds(5))
  {
    std::string received;
    const auto end = std::chrono::steady_clock::now() + aLimit;
    while (!closed_ && std::chrono::steady_clock::now() < end) {
      ReadSome(received, end);
    }
    return received;
  }

  bool Closed() const { return closed_; }

  /** Ends the sending side; the connection can still be read. */
  void EndSending()
  {
    asio::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  }

  void Close()
  {
    asio::error_code ignored;
    socket_.close(ignored);
  }

private:
  void ReadSome(std::string& aReceived,
                std::chrono::steady_clock::time_point aEnd)
  {
    bool done = false;
    socket_.async_read_some(
      asio::buffer(buffer_),
      [&](const asio::error_code& aError, std::size_t aCount) {
        done = true;
        closed_ =
          closed_ || (aError && aError != asio::error::operation_aborted);
        aReceived.append(buffer_.data(), aCount);
      });
    context_.restart();
    while (!done && std::chrono::steady_clock::now() < aEnd) {
      context_.run_one_for(std::chrono::milliseconds(20));
    }
    if (!done) {
      socket_.cancel();
      context_.run();
    }
  }

  asio::io_context context_;
  asio::ip::tcp::socket socket_;
  std::array<char, 65536> buffer_{};
  bool closed_ = false;
};

} // namespace lacewing

#endif // TESTS_SUPPORT_RAWCALLER_H
