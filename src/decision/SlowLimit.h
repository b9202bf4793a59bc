#ifndef DECISION_SLOWLIMIT_H
#define DECISION_SLOWLIMIT_H

#include "lacewing/Clock.h"

namespace lacewing {

/**
 * The answer time of a service above which an answer is a sign of a slow
 * target. It follows the service's mix of work, so that about one answer in
 * 200 exceeds it while all targets are well.
 */
class SlowLimit
{
public:
  /** aTypical is the usual answer time including this answer. */
  void Add(Duration aLatency, Duration aTypical);
  /** Zero before the first answer. */
  Duration Value() const { return limit_; }

private:
  Duration limit_{ 0 };
};

} // namespace lacewing

#endif // DECISION_SLOWLIMIT_H
