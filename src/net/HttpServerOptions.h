#ifndef NET_HTTPSERVEROPTIONS_H
#define NET_HTTPSERVEROPTIONS_H

#include "core/ReadBudget.h"
#include "lacewing/ByteCount.h"
#include "lacewing/Endpoint.h"
#include "net/HttpResponse.h"

#include <chrono>
#include <cstddef>
#include <memory>

namespace lacewing {

/** Limits of an HTTP server. */
struct HttpServerOptions
{
  Endpoint endpoint;
  ByteCount maxBody{ 16U << 20U };
  ByteCount maxTarget{ 8U << 10U };
  ByteCount maxFieldName{ 256 };
  ByteCount maxFieldValue{ 8U << 10U };
  std::size_t maxFields = 64;
  std::size_t maxConnections = 4096;
  /** Time for a whole request to arrive, and between requests. */
  std::chrono::milliseconds readTimeout{ 60000 };
  std::chrono::milliseconds writeTimeout{ 30000 };
  std::chrono::milliseconds handleTimeout{ 120000 };
  /**
   * Charged for requests that are not whole yet; null for no limit beyond
   * maxBody for each connection. A request that finds it used up is answered
   * with refusal and its connection closed.
   */
  std::shared_ptr<ReadBudget> readBudget;
  HttpResponse refusal;
  /** Sent with a readBudget when a request cannot be parsed. */
  HttpResponse malformed;
  /** Lets several servers of one process share the port. */
  bool reusePort = false;
};

} // namespace lacewing

#endif // NET_HTTPSERVEROPTIONS_H
