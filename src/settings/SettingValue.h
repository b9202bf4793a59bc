#ifndef SETTINGS_SETTINGVALUE_H
#define SETTINGS_SETTINGVALUE_H

#include <cstdint>
#include <string>
#include <variant>

namespace lacewing {

/** One value of a settings file, and the line where it stands. */
struct SettingValue
{
  /** Other TOML types appear as std::monostate. */
  std::variant<std::monostate, std::string, std::int64_t, bool> value;
  /** The value as text, for messages. */
  std::string text;
  unsigned line = 0;
};

} // namespace lacewing

#endif // SETTINGS_SETTINGVALUE_H
