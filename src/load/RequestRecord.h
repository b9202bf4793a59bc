#ifndef LOAD_REQUESTRECORD_H
#define LOAD_REQUESTRECORD_H

#include "lacewing/Clock.h"
#include "load/CheckedAnswer.h"

#include <string>

namespace lacewing {

/** One request for the file of records. */
struct RequestRecord
{
  std::string id;
  std::size_t phase = 0;
  std::size_t kind = 0;
  /** Intended arrival since the start of the experiment. */
  Duration intended;
  Duration latency;
  CheckedAnswer answer;
  /** Zero without an answer. */
  int status = 0;
};

} // namespace lacewing

#endif // LOAD_REQUESTRECORD_H
