#ifndef QUOTA_ALLOWANCEOWNER_H
#define QUOTA_ALLOWANCEOWNER_H

#include "lacewing/CustomerId.h"
#include "quota/ZoneSpeakers.h"

#include <vector>

namespace lacewing {

/**
 * Returns the host that owns the customer's token bucket: the highest speaker
 * of the highest zone by rendezvous hashing. Zones whose speakers are not known
 * are left out. Returns null if no speaker is known.
 */
const HostAddress* AllowanceOwnerOf(const CustomerId& aCustomer,
                                    const std::vector<ZoneSpeakers>& aZones);

} // namespace lacewing

#endif // QUOTA_ALLOWANCEOWNER_H
