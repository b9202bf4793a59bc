#ifndef TESTS_SUPPORT_RUNCOUNTS_H
#define TESTS_SUPPORT_RUNCOUNTS_H

#include "lacewing/Endpoint.h"

#include <map>
#include <string>

namespace lacewing {

/** How often each "METHOD path" was run by the targets of one process. */
using RunCounts = std::map<std::string, int>;

/** Reads the log of a standin-target from its admin address. */
RunCounts ReadRunCounts(const Endpoint& aAdmin);

} // namespace lacewing

#endif // TESTS_SUPPORT_RUNCOUNTS_H
