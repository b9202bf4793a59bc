#ifndef DECISION_REQUESTTIMERS_H
#define DECISION_REQUESTTIMERS_H

#include "lacewing/Clock.h"
#include "lacewing/RequestId.h"

#include <optional>
#include <set>
#include <utility>

namespace lacewing {

/** When each open request has to be looked at; one timer per request. */
class RequestTimers
{
public:
  void Add(TimePoint aDue, RequestId aRequest);
  void Remove(TimePoint aDue, RequestId aRequest);

  std::optional<TimePoint> Next() const;
  /** The request that is due first; it keeps its timer. */
  std::optional<RequestId> Due(TimePoint aNow) const;

private:
  std::set<std::pair<TimePoint, RequestId>> timers_;
};

} // namespace lacewing

#endif // DECISION_REQUESTTIMERS_H
