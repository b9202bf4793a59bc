#ifndef ENTRY_ENTRYDUMP_H
#define ENTRY_ENTRYDUMP_H

#include "entry/EntrySettings.h"
#include "entry/EntryState.h"

#include <string>

namespace lacewing {

/** The state page as JSON, for operators and tests. */
std::string MakeEntryDump(const EntrySettings& aSettings,
                          const EntryState& aState);

} // namespace lacewing

#endif // ENTRY_ENTRYDUMP_H
