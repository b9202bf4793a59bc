#ifndef DECISION_REQUESTINFO_H
#define DECISION_REQUESTINFO_H

#include "lacewing/ByteCount.h"
#include "lacewing/Clock.h"
#include "lacewing/RequestId.h"
#include "lacewing/ServiceId.h"

#include <optional>
#include <string>

namespace lacewing {

/** What the engine needs to know of a caller's request. */
struct RequestInfo
{
  RequestId id;
  ServiceId service;
  std::string method;
  ByteCount bodySize;
  /** Remaining time that the caller stated, if any. */
  std::optional<Duration> callerDeadline;
};

} // namespace lacewing

#endif // DECISION_REQUESTINFO_H
