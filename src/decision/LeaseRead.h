#ifndef DECISION_LEASEREAD_H
#define DECISION_LEASEREAD_H

namespace lacewing {

/** Action: read the lease object. */
struct LeaseRead
{};

} // namespace lacewing

#endif // DECISION_LEASEREAD_H
