#ifndef SETTINGS_SETTINGSPROBLEMS_H
#define SETTINGS_SETTINGSPROBLEMS_H

#include "lacewing/Error.h"
#include "settings/SettingValue.h"

#include <set>
#include <string>
#include <utility>

namespace lacewing {

/** Collects every problem of a settings file, so that one run shows all. */
class SettingsProblems
{
public:
  explicit SettingsProblems(std::string aFile)
    : file_(std::move(aFile))
  {
  }

  void Add(const std::string& aKey,
           const SettingValue& aValue,
           const Error& aError);
  void AddMissing(const std::string& aKey);
  void AddUnknown(const std::string& aKey,
                  const SettingValue& aValue,
                  const std::set<std::string>& aKnown);

  bool empty() const { return text_.empty(); }

  /** One line a problem: file, line, key, what was found, what to write. */
  Error ToError() const;

private:
  void AddLine(const std::string& aPlace, const std::string& aText);

  std::string file_;
  std::string text_;
};

} // namespace lacewing

#endif // SETTINGS_SETTINGSPROBLEMS_H
