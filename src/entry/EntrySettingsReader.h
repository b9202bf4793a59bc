#ifndef ENTRY_ENTRYSETTINGSREADER_H
#define ENTRY_ENTRYSETTINGSREADER_H

#include "entry/EntrySettings.h"
#include "lacewing/Outcome.h"

#include <string>

namespace lacewing {

/** Reads settings from TOML text; an unknown key is an error. */
Outcome<EntrySettings> ParseEntrySettings(const std::string& aText);

Outcome<EntrySettings> ReadEntrySettings(const std::string& aPath);

} // namespace lacewing

#endif // ENTRY_ENTRYSETTINGSREADER_H
