#ifndef NET_HTTPRESPONDER_H
#define NET_HTTPRESPONDER_H

#include "net/HttpResponse.h"

#include <functional>

namespace lacewing {

/**
 * Answers one request. Lives on the server's thread; the first Send counts,
 * later ones do nothing. Dropping it without Send answers 500.
 */
class HttpResponder
{
public:
  virtual ~HttpResponder() = default;

  virtual void Send(HttpResponse aResponse) = 0;

  /** Closes the connection without an answer; for stand-ins. */
  virtual void Drop() = 0;

  /** Calls aHandler once if the caller's connection closes before Send. */
  virtual void OnGone(std::function<void()> aHandler) = 0;
};

} // namespace lacewing

#endif // NET_HTTPRESPONDER_H
