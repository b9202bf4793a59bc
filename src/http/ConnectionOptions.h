#ifndef HTTP_CONNECTIONOPTIONS_H
#define HTTP_CONNECTIONOPTIONS_H

#include "http/ParserLimits.h"
#include "lacewing/Clock.h"
#include "lacewing/ConnectionCount.h"
#include "lacewing/Endpoint.h"

#include <memory>

namespace lacewing {

/** Where and how a client connection is opened. */
struct ConnectionOptions
{
  Endpoint endpoint;
  Duration connectTimeout = std::chrono::milliseconds(300);
  ParserLimits limits;
  /** Counts the connection from its creation to its close; may be null. */
  std::shared_ptr<ConnectionCount> count;
};

} // namespace lacewing

#endif // HTTP_CONNECTIONOPTIONS_H
