#ifndef SETTINGS_READSETTINGS_H
#define SETTINGS_READSETTINGS_H

#include "settings/SettingsDocument.h"
#include "settings/SettingsKey.h"
#include "settings/SettingsProblems.h"

#include <set>
#include <string>
#include <vector>

namespace lacewing {

/** Fills Settings from a document; every key must be in the table. */
template<class Settings>
Outcome<Settings> ReadSettings(const SettingsDocument& aDocument,
                               const std::vector<SettingsKey<Settings>>& aKeys)
{
  Settings settings;
  SettingsProblems problems(aDocument.file);
  std::set<std::string> known;
  for (const SettingsKey<Settings>& key : aKeys) {
    known.insert(key.name);
    const auto entry = aDocument.values.find(key.name);
    if (entry == aDocument.values.end()) {
      if (key.presence == Presence::kRequired) {
        problems.AddMissing(key.name);
      }
      continue;
    }
    const Outcome<void> assigned = key.assign(entry->second, settings);
    if (!assigned) {
      problems.Add(key.name, entry->second, assigned.error());
    }
  }
  for (const auto& [name, value] : aDocument.values) {
    if (known.count(name) == 0) {
      problems.AddUnknown(name, value, known);
    }
  }
  if (!problems.empty()) {
    return outcome::failure(problems.ToError());
  }
  return settings;
}

} // namespace lacewing

#endif // SETTINGS_READSETTINGS_H
