#ifndef SETTINGS_SETTINGSDOCUMENT_H
#define SETTINGS_SETTINGSDOCUMENT_H

#include "lacewing/Outcome.h"
#include "settings/SettingValue.h"

#include <map>
#include <string>

namespace lacewing {

/** A parsed TOML file as a flat map from "table.key" to its value. */
struct SettingsDocument
{
  /** The name shown in messages. */
  std::string file;
  std::map<std::string, SettingValue> values;

  static Outcome<SettingsDocument> ReadFile(const std::string& aFile);
  static Outcome<SettingsDocument> Parse(const std::string& aText,
                                         const std::string& aFile);
};

} // namespace lacewing

#endif // SETTINGS_SETTINGSDOCUMENT_H
