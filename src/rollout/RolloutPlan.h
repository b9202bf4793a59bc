#ifndef ROLLOUT_ROLLOUTPLAN_H
#define ROLLOUT_ROLLOUTPLAN_H

#include "lacewing/BasisPoints.h"
#include "lacewing/Clock.h"

#include <cstdint>

namespace lacewing {

/** The steps of a rollout and when each may end. Step 0 has share 0. */
class RolloutPlan
{
public:
  explicit RolloutPlan(Duration aPeriod);

  /** The number of the last step of a trial. */
  static constexpr std::uint32_t kTrialSteps = 3;

  /**
   * Share of the requests at a step of the trial. A service with few requests
   * gets a higher share, since its trial would see too few otherwise:
   * aExpectedRequests are those of the whole period (0 if not known), of which
   * the trial may use aAllowed.
   */
  BasisPoints ShareAt(std::uint32_t aStep,
                      double aExpectedRequests,
                      double aAllowed) const;

  /**
   * Time since the order at which a step may end that began at aBegan and in
   * which the new version got its first request at aFirstRequest.
   */
  Duration EndOf(std::uint32_t aStep,
                 Duration aBegan,
                 Duration aFirstRequest) const;

  /** How long a step of the trial lasts if nothing delays it. */
  Duration LengthOf(std::uint32_t aStep) const;

  /** A version that is not proven and in use by then is rejected. */
  Duration Deadline() const;

private:
  Duration period_;
};

} // namespace lacewing

#endif // ROLLOUT_ROLLOUTPLAN_H
