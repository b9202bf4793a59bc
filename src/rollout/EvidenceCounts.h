#ifndef ROLLOUT_EVIDENCECOUNTS_H
#define ROLLOUT_EVIDENCECOUNTS_H

#include "rollout/RolloutEvidence.h"

namespace lacewing {

/**
 * Adds the counts of aMore to aSum: requests, attempts and routes. At most
 * RolloutEvidence::kMaxRoutes routes are listed in aSum, those that had the
 * most attempts when they were added first; further ones are added up in the
 * entry of route 0. A listed route stays listed, so that no counts move from
 * one entry to another.
 */
void AddCounts(RolloutEvidence& aSum, const RolloutEvidence& aMore);

/**
 * Returns what the counts of aNow have grown by since aBefore. A count that
 * fell, since its host started again, gives zero.
 */
RolloutEvidence GrowthOf(const RolloutEvidence& aBefore,
                         const RolloutEvidence& aNow);

} // namespace lacewing

#endif // ROLLOUT_EVIDENCECOUNTS_H
