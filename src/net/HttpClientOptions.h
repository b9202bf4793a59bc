#ifndef NET_HTTPCLIENTOPTIONS_H
#define NET_HTTPCLIENTOPTIONS_H

#include <chrono>

namespace lacewing {

/** Settings of an HttpClient. */
struct HttpClientOptions
{
  /** Idle connections kept over all endpoints. */
  long maxIdleConnections = 1024;
  /**
   * An idle connection older than this is not used again, so that a peer's
   * idle timeout does not close it under a request.
   */
  std::chrono::seconds maxIdleAge{ 30 };
};

} // namespace lacewing

#endif // NET_HTTPCLIENTOPTIONS_H
