#ifndef ENTRY_ENTRYMETRICS_H
#define ENTRY_ENTRYMETRICS_H

#include "entry/EntryState.h"

#include <string>

namespace lacewing {

/** The metrics page, summed over the workers. */
std::string MakeEntryMetrics(const EntryState& aState);

} // namespace lacewing

#endif // ENTRY_ENTRYMETRICS_H
