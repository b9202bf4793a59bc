#ifndef ROLLOUT_COMPLETIONCHECK_H
#define ROLLOUT_COMPLETIONCHECK_H

#include "lacewing/Clock.h"
#include "rollout/ZoneEvidence.h"

#include <cstdint>
#include <vector>

namespace lacewing {

/**
 * Whether all live hosts apply the last step and have no request in progress
 * at old targets. aLastStep is its number and aSince the time at which it was
 * decided. Unresponsive hosts are waited for until 4 s after aSince; by then
 * they have expired directives or are gone.
 */
bool IsRolloutComplete(TimePoint aNow,
                       std::uint32_t aLastStep,
                       TimePoint aSince,
                       const std::vector<ZoneEvidence>& aZones,
                       unsigned aUnresponsiveHosts);

} // namespace lacewing

#endif // ROLLOUT_COMPLETIONCHECK_H
