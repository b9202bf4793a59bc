#ifndef ENTRY_TRANSLATEDREQUEST_H
#define ENTRY_TRANSLATEDREQUEST_H

#include "lacewing/Clock.h"
#include "lacewing/ServiceId.h"

#include <optional>
#include <string>

namespace lacewing {

/** What the front end reads from a caller's request line and fields. */
struct TranslatedRequest
{
  ServiceId service;
  /** Path and query for the target. */
  std::string target;
  std::optional<Duration> deadline;
};

} // namespace lacewing

#endif // ENTRY_TRANSLATEDREQUEST_H
