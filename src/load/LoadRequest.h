#ifndef LOAD_LOADREQUEST_H
#define LOAD_LOADREQUEST_H

#include "lacewing/Clock.h"
#include "load/ExpectedAnswer.h"
#include "net/HttpCall.h"

#include <string>

namespace lacewing {

/** A request of the load tool on its way. */
struct LoadRequest
{
  /** Unique over all runs; part of the query. */
  std::string id;
  std::size_t phase = 0;
  std::size_t kind = 0;
  TimePoint intended;
  HttpCall call;
  ExpectedAnswer expected;
  std::size_t entry = 0;
  /** How often a connection was refused. */
  int refusals = 0;
};

} // namespace lacewing

#endif // LOAD_LOADREQUEST_H
