#ifndef HTTP_HTTPCONNECTION_H
#define HTTP_HTTPCONNECTION_H

#include "http/ConnectionOptions.h"
#include "http/ExchangeResult.h"
#include "http/OutgoingRequest.h"
#include "lacewing/Clock.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace lacewing {

/**
 * A client's side of one HTTP/1.1 connection; sends one request at a time and
 * reads while it sends, so that early answers are seen. It never sends a
 * request again by itself. Handlers run on the io_context's thread, never from
 * within a call.
 */
class HttpConnection
{
public:
  using Handler = std::function<void(ExchangeResult)>;

  /** Opens lazily, with the first request. */
  HttpConnection(asio::io_context& aContext,
                 const ConnectionOptions& aOptions,
                 const Clock& aClock);
  /** Closes; a running request's handler is not called any more. */
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /** Sends a request; the connection must be Reusable() and not busy. */
  void Send(OutgoingRequest aRequest, Handler aHandler);

  /**
   * Reads what has arrived, so that a timeout which is handled late does not
   * drop an answer that came in time. If that ends the request, Busy() is false
   * and its handler runs next. If the peer has closed an idle connection,
   * Reusable() is false.
   */
  void ReadArrived();

  /** Called once when the peer closes an idle connection or writes on it. */
  void SetIdleEndHandler(std::function<void()> aHandler);

  /** Whether a further request may be sent on it. */
  bool Reusable() const;

  /**
   * Whether every answer so far could be told from the answers to other
   * requests, so that a repeat of one is not taken for the next answer.
   */
  bool Unambiguous() const;

  /** Whether the peer has neither sent unread bytes nor closed. */
  bool Quiet() const;

  bool Busy() const;

  /** When the last answer ended; the start when there was none. */
  TimePoint IdleSince() const;

  /** How long the peer said that it keeps an idle connection. */
  std::optional<Duration> PeerKeepAlive() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // HTTP_HTTPCONNECTION_H
