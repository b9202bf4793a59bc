#ifndef NET_HTTPRESPONDER_H
#define NET_HTTPRESPONDER_H

#include "net/HttpResponse.h"

#include <chrono>
#include <functional>
#include <memory>
#include <utility>

namespace lacewing {

/**
 * Answers one request. Lives on the server's thread; the first Send counts,
 * later ones do nothing. Dropping it without Send answers 500.
 */
class HttpResponder
{
public:
  virtual ~HttpResponder() = default;

  /** Holds aKept until the answer is written or the connection closes. */
  virtual void Send(HttpResponse aResponse,
                    std::shared_ptr<const void> aKept) = 0;

  void Send(HttpResponse aResponse) { Send(std::move(aResponse), nullptr); }

  /** Closes the connection without an answer; for stand-ins. */
  virtual void Drop() = 0;

  /**
   * Sends the answer, sends it again after aPause and closes the connection;
   * for stand-ins of targets that break the protocol.
   */
  virtual void SendTwice(const HttpResponse& aResponse,
                         std::chrono::milliseconds aPause) = 0;

  /** Calls aHandler once if the caller's connection closes before Send. */
  virtual void OnGone(std::function<void()> aHandler) = 0;
};

} // namespace lacewing

#endif // NET_HTTPRESPONDER_H
