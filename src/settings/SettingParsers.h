#ifndef SETTINGS_SETTINGPARSERS_H
#define SETTINGS_SETTINGPARSERS_H

#include "core/UnitText.h"
#include "lacewing/Endpoint.h"
#include "lacewing/StrongNumber.h"
#include "lacewing/StrongString.h"
#include "settings/SettingValue.h"

#include <chrono>
#include <cstdint>
#include <limits>
#include <string>

namespace lacewing {

/** Overloads of ParseSetting turn a value into the type of a member. */
Outcome<void> ParseSetting(const SettingValue& aValue, std::string& aResult);
Outcome<void> ParseSetting(const SettingValue& aValue, bool& aResult);
Outcome<void> ParseSetting(const SettingValue& aValue, Endpoint& aResult);
Outcome<void> ParseSetting(const SettingValue& aValue, ByteCount& aResult);
Outcome<void> ParseSetting(const SettingValue& aValue, BasisPoints& aResult);
Outcome<void> ParseSetting(const SettingValue& aValue, Duration& aResult);
Outcome<void> ParseSetting(const SettingValue& aValue,
                           std::chrono::milliseconds& aResult);

/** A whole number of at most aMax. */
Outcome<std::uint64_t> ParseWholeNumber(const SettingValue& aValue,
                                        std::uint64_t aMax);

inline Outcome<void> ParseSetting(const SettingValue& aValue, unsigned& aResult)
{
  BOOST_OUTCOME_TRY(
    auto number,
    ParseWholeNumber(aValue, std::numeric_limits<unsigned>::max()));
  aResult = static_cast<unsigned>(number);
  return outcome::success();
}

inline Outcome<void> ParseSetting(const SettingValue& aValue,
                                  std::uint64_t& aResult)
{
  BOOST_OUTCOME_TRY(
    auto number,
    ParseWholeNumber(
      aValue,
      static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())));
  aResult = number;
  return outcome::success();
}

template<class Tag>
Outcome<void> ParseSetting(const SettingValue& aValue,
                           StrongString<Tag>& aResult)
{
  std::string text;
  BOOST_OUTCOME_TRY(ParseSetting(aValue, text));
  aResult = StrongString<Tag>(std::move(text));
  return outcome::success();
}

template<class Tag, class Rep>
Outcome<void> ParseSetting(const SettingValue& aValue,
                           StrongNumber<Tag, Rep>& aResult)
{
  BOOST_OUTCOME_TRY(
    auto number,
    ParseWholeNumber(
      aValue,
      static_cast<std::uint64_t>(std::numeric_limits<std::int32_t>::max())));
  aResult = StrongNumber<Tag, Rep>(static_cast<Rep>(number));
  return outcome::success();
}

} // namespace lacewing

#endif // SETTINGS_SETTINGPARSERS_H
