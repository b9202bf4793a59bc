#ifndef HTTP_CONNECTIONOPTIONS_H
#define HTTP_CONNECTIONOPTIONS_H

#include "http/ParserLimits.h"
#include "lacewing/Clock.h"
#include "lacewing/Endpoint.h"

namespace lacewing {

/** Where and how a client connection is opened. */
struct ConnectionOptions
{
  Endpoint endpoint;
  Duration connectTimeout = std::chrono::milliseconds(300);
  ParserLimits limits;
};

} // namespace lacewing

#endif // HTTP_CONNECTIONOPTIONS_H
