#ifndef TESTS_SUPPORT_SCRIPTEDTARGET_H
#define TESTS_SUPPORT_SCRIPTEDTARGET_H

#include "lacewing/Endpoint.h"

#include <asio.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace lacewing {

/**
 * A target whose responses are bytes chosen by the test, so that they may break
 * the protocol. The script receives the number of the request, counted from 1,
 * and the request, and returns the response. An empty response closes
 * the connection. Bytes after kDelayMarker are sent 20 ms later. At
 * kCloseMarker the connection is closed, at kResetMarker it is reset; the bytes
 * after it are not sent. If a response has no Lacewing-Request-Id, the
 * request's is added.
 */
class ScriptedTarget
{
public:
  using Script = std::function<std::string(int, const std::string&)>;

  /** How much of a request is read before it is answered. */
  enum class ReadsFirst
  {
    kWholeRequest,
    /** The rest stays unread, so that a close resets the connection. */
    kHead,
  };

  static constexpr const char* kCloseMarker = "\x01";
  static constexpr const char* kDelayMarker = "\x02";
  static constexpr const char* kResetMarker = "\x03";
  static constexpr const char* kEndMarker = "\x04";

  /** The header line with aRequest's id; empty if the request has no id. */
  static std::string RequestIdLine(const std::string& aRequest)
  {
    const std::size_t begin = aRequest.find("Lacewing-Request-Id: ");
    return begin == std::string::npos
             ? std::string()
             : aRequest.substr(begin, aRequest.find("\n", begin) + 1 - begin);
  }

  explicit ScriptedTarget(Script aScript,
                          ReadsFirst aReadsFirst = ReadsFirst::kWholeRequest)
    : script_(std::move(aScript))
    , readsFirst_(aReadsFirst)
    , acceptor_(context_, { asio::ip::address_v4::loopback(), 0 })
  {
    Accept();
    thread_ = std::thread([this] { context_.run(); });
  }

  ~ScriptedTarget()
  {
    context_.stop();
    thread_.join();
  }

  Endpoint Address() const
  {
    return { "127.0.0.1", acceptor_.local_endpoint().port() };
  }
  /** Number of requests received. */
  int Runs() const { return runs_; }
  /** Number of connections accepted. */
  int Connections() const { return connections_; }
  /** For scripts: the number of the connection that is answered, from 1. */
  int Connection() const { return connection_; }

private:
  struct Session
  {
    Session(asio::ip::tcp::socket aSocket, int aNumber)
      : socket(std::move(aSocket))
      , number(aNumber)
    {
    }
    asio::ip::tcp::socket socket;
    int number;
    std::array<char, 65536> buffer{};
    std::string received;
  };

  void Accept()
  {
    acceptor_.async_accept(
      [this](const asio::error_code& aError, asio::ip::tcp::socket aSocket) {
        if (!aError) {
          Read(std::make_shared<Session>(std::move(aSocket), ++connections_));
          Accept();
        }
      });
  }

  void Read(const std::shared_ptr<Session>& aSession)
  {
    // The first bytes of the body arrive with the head; a short read leaves
    // some of them, so that a close is sure to reset the connection.
    constexpr std::size_t kShortRead = 512;
    const std::size_t most =
      readsFirst_ == ReadsFirst::kHead ? kShortRead : aSession->buffer.size();
    aSession->socket.async_read_some(
      asio::buffer(aSession->buffer, most),
      [this, aSession](const asio::error_code& aError, std::size_t aLength) {
        if (aError) {
          return;
        }
        aSession->received.append(aSession->buffer.data(), aLength);
        if (MayAnswer(aSession->received)) {
          Respond(aSession, std::exchange(aSession->received, {}));
        } else {
          Read(aSession);
        }
      });
  }

  bool MayAnswer(const std::string& aRequest) const
  {
    const std::size_t end = aRequest.find("\r\n\r\n");
    if (end == std::string::npos) {
      return false;
    }
    if (readsFirst_ == ReadsFirst::kHead) {
      return true;
    }
    const std::string field = "Content-Length: ";
    const std::size_t length = aRequest.find(field);
    return length > end ||
           aRequest.size() >=
             end + 4 + std::stoul(aRequest.substr(length + field.size()));
  }

  void Respond(const std::shared_ptr<Session>& aSession,
               const std::string& aRequest)
  {
    connection_ = aSession->number;
    std::string response = script_(++runs_, aRequest);
    if (response.find("Lacewing-Request-Id: ") == std::string::npos) {
      const std::size_t statusEnd = response.find('\n');
      response.insert(
        statusEnd == std::string::npos ? 0 : statusEnd + 1,
        response.compare(0, 5, "HTTP/") == 0 ? RequestIdLine(aRequest) : "");
    }
    const std::size_t resetAt = response.find(kResetMarker);
    const std::size_t endAt = response.find(kEndMarker);
    const std::size_t end =
      std::min({ response.find(kCloseMarker), resetAt, endAt });
    const std::size_t delayAt = std::min(response.find(kDelayMarker), end);
    asio::error_code error;
    asio::write(
      aSession->socket, asio::buffer(response.substr(0, delayAt)), error);
    if (delayAt < std::min(end, response.size())) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      asio::write(aSession->socket,
                  asio::buffer(response.substr(delayAt + 1, end - delayAt - 1)),
                  error);
    }
    if (!error && end == std::string::npos && !response.empty()) {
      Read(aSession);
    }
    if (resetAt == end && end != std::string::npos) {
      aSession->socket.set_option(asio::socket_base::linger(true, 0), error);
      aSession->socket.close(error);
    }
    if (endAt == end && end != std::string::npos) {
      aSession->socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
      Discard(aSession);
    }
  }

  void Discard(const std::shared_ptr<Session>& aSession)
  {
    aSession->socket.async_read_some(
      asio::buffer(aSession->buffer),
      [this, aSession](const asio::error_code& aError, std::size_t) {
        if (!aError) {
          Discard(aSession);
        }
      });
  }

  Script script_;
  const ReadsFirst readsFirst_;
  std::atomic<int> runs_{ 0 };
  std::atomic<int> connections_{ 0 };
  std::atomic<int> connection_{ 0 };
  asio::io_context context_;
  asio::ip::tcp::acceptor acceptor_;
  std::thread thread_;
};

/** A complete 200 response with that body and further header lines. */
inline std::string OkResponse(const std::string& aBody,
                              const std::string& aFields = "")
{
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n" + aFields + "\r\n" + aBody;
}

} // namespace lacewing

#endif // TESTS_SUPPORT_SCRIPTEDTARGET_H
