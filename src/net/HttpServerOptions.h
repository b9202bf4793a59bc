#ifndef NET_HTTPSERVEROPTIONS_H
#define NET_HTTPSERVEROPTIONS_H

#include "lacewing/ByteCount.h"
#include "lacewing/Endpoint.h"

#include <chrono>
#include <cstddef>

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
  /** Lets several servers of one process share the port. */
  bool reusePort = false;
};

} // namespace lacewing

#endif // NET_HTTPSERVEROPTIONS_H
