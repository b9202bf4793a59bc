#ifndef ENTRY_WORKERID_H
#define ENTRY_WORKERID_H

#include "lacewing/StrongNumber.h"

namespace lacewing {

/** Numbers the traffic workers of one process from 0. */
using WorkerId = StrongNumber<struct WorkerIdTag, std::uint32_t>;

} // namespace lacewing

#endif // ENTRY_WORKERID_H
