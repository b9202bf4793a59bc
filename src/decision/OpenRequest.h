#ifndef DECISION_OPENREQUEST_H
#define DECISION_OPENREQUEST_H

#include "lacewing/AttemptId.h"
#include "lacewing/Clock.h"
#include "lacewing/RequestId.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace lacewing {

class ServiceState;
class TargetView;

/** A request that waits for a slot or is in progress. */
struct OpenRequest
{
  RequestId id;
  ServiceState* service = nullptr;
  /** Orders requests by arrival; a retried request keeps its place. */
  std::uint64_t arrival = 0;
  TimePoint arrived;
  TimePoint deadline;
  /** When OnTimer has to look at the request. */
  TimePoint due;
  bool idempotent = false;
  bool waiting = false;
  /** An attempt was sent and not proved to be not run. */
  bool mayHaveRun = false;
  unsigned attempts = 0;
  std::optional<AttemptId> current;
  /** Target of the last attempt that failed; a retry avoids it. */
  std::shared_ptr<TargetView> last;
};

} // namespace lacewing

#endif // DECISION_OPENREQUEST_H
