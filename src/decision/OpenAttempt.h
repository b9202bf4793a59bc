#ifndef DECISION_OPENATTEMPT_H
#define DECISION_OPENATTEMPT_H

#include "lacewing/Clock.h"
#include "lacewing/RequestId.h"

#include <memory>

namespace lacewing {

class TargetView;

/** One sending of a request that has not ended. */
struct OpenAttempt
{
  RequestId request;
  std::shared_ptr<TargetView> target;
  TimePoint sent;
};

} // namespace lacewing

#endif // DECISION_OPENATTEMPT_H
