#ifndef QUOTA_ALLOWANCEMETRICS_H
#define QUOTA_ALLOWANCEMETRICS_H

#include "quota/AllowanceCounters.h"

#include <cstddef>
#include <string>

namespace lacewing {

/**
 * Formats the counters of the exchange of tokens in the text exposition
 * format. aOwned is the number of customers that this host owns.
 */
std::string AllowanceMetricsText(const AllowanceCounters& aCounters,
                                 std::size_t aOwned);

} // namespace lacewing

#endif // QUOTA_ALLOWANCEMETRICS_H
