#ifndef ROLLOUT_CANARYSUBSET_H
#define ROLLOUT_CANARYSUBSET_H

#include "lacewing/TargetId.h"
#include "rollout/RolloutDirective.h"

#include <cstddef>
#include <vector>

namespace lacewing {

/**
 * The targets of the new version that get requests under a directive, of
 * aUsable, those that are listed and warm. In a trial these are the first
 * ceil(share x count / 1.25), at least 4 (2 from a share of 25 % on), by
 * rendezvous hashing of order and target. So they run at the load that they
 * will have later, which shows a version that is bad only under load. All are
 * used once the version is proven, none at share 0 or when it is rejected.
 */
std::vector<TargetId> CanarySubset(const RolloutDirective& aDirective,
                                   const std::vector<TargetId>& aUsable);

/** The number of targets that get requests, of aUsable usable ones. */
std::size_t CanaryCount(const RolloutDirective& aDirective,
                        std::size_t aUsable);

} // namespace lacewing

#endif // ROLLOUT_CANARYSUBSET_H
