#ifndef CONFIG_REMOVALGUARD_H
#define CONFIG_REMOVALGUARD_H

#include "config/Configuration.h"
#include "lacewing/BasisPoints.h"
#include "lacewing/Outcome.h"

namespace lacewing {

/** Share of a service's targets that a plan may take away by default. */
constexpr BasisPoints kDefaultMaxRemoval{ 2'500 };

/** Lets pass all that leaves a service at least one target. */
constexpr BasisPoints kAllButOne{ 9'999 };

/**
 * Refuses (kRefused) a change by which a service loses more than aMaxShare of
 * the targets that take new work, whether they are removed, moved or taken
 * out of service by themselves or with their zone.
 */
Outcome<void> CheckRemoval(const Configuration& aBefore,
                           const Configuration& aAfter,
                           BasisPoints aMaxShare);

} // namespace lacewing

#endif // CONFIG_REMOVALGUARD_H
