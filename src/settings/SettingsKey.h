#ifndef SETTINGS_SETTINGSKEY_H
#define SETTINGS_SETTINGSKEY_H

#include "settings/Presence.h"
#include "settings/SettingParsers.h"

#include <functional>
#include <string>
#include <utility>

namespace lacewing {

/** One row of the table that maps keys to the members of Settings. */
template<class Settings>
struct SettingsKey
{
  std::string name;
  Presence presence = Presence::kOptional;
  std::function<Outcome<void>(const SettingValue&, Settings&)> assign;
};

/** A key whose value goes to a member. */
template<class Settings, class Member>
SettingsKey<Settings> MakeKey(std::string aName,
                              Presence aPresence,
                              Member Settings::*aMember)
{
  return { std::move(aName),
           aPresence,
           [aMember](const SettingValue& aValue, Settings& aSettings) {
             return ParseSetting(aValue, aSettings.*aMember);
           } };
}

/**
 * A key whose value has to lie from aMin to aMax. The bounds are written as
 * in the file, so that the message shows them in its units.
 */
template<class Settings, class Member>
SettingsKey<Settings> MakeKey(std::string aName,
                              Presence aPresence,
                              Member Settings::*aMember,
                              SettingValue aMin,
                              SettingValue aMax)
{
  return { std::move(aName),
           aPresence,
           [aMember, min = std::move(aMin), max = std::move(aMax)](
             const SettingValue& aValue, Settings& aSettings) -> Outcome<void> {
             Member low{};
             Member high{};
             BOOST_OUTCOME_TRY(ParseSetting(min, low));
             BOOST_OUTCOME_TRY(ParseSetting(max, high));
             BOOST_OUTCOME_TRY(ParseSetting(aValue, aSettings.*aMember));
             if (aSettings.*aMember < low || high < aSettings.*aMember) {
               return Fail(ErrorKind::kInvalidSettings,
                           "found " + aValue.text,
                           "write a value from " + min.text + " to " +
                             max.text);
             }
             return outcome::success();
           } };
}

/** A bound for MakeKey with a unit, as in Bound("10 ms"). */
inline SettingValue Bound(const std::string& aText)
{
  return { aText, "\"" + aText + "\"", 0 };
}

/** A bound for MakeKey that is a whole number. */
inline SettingValue Bound(std::int64_t aNumber)
{
  return { aNumber, std::to_string(aNumber), 0 };
}

} // namespace lacewing

#endif // SETTINGS_SETTINGSKEY_H
