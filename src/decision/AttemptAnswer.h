#ifndef DECISION_ATTEMPTANSWER_H
#define DECISION_ATTEMPTANSWER_H

#include "lacewing/InstanceId.h"

#include <optional>

namespace lacewing {

/** What a target's whole answer says, apart from its body. */
struct AttemptAnswer
{
  int status = 200;
  /** The target proves that it did not run the request. */
  bool notRun = false;
  bool draining = false;
  /** The target says that it is in a cold start. */
  bool cold = false;
  /** Empty when the target does not name its instance. */
  InstanceId instance;
  /** Share of slots in use as reported by the target; stale or false. */
  std::optional<double> reportedLoad;
};

} // namespace lacewing

#endif // DECISION_ATTEMPTANSWER_H
