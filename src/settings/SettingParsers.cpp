#include "settings/SettingParsers.h"

namespace lacewing {

namespace {

auto Refuse(const SettingValue& aValue, const std::string& aExpected)
{
  return Fail(
    ErrorKind::kInvalidSettings, "found " + aValue.text, "write " + aExpected);
}

/** Reads a text and gives it to a parser of a unit. */
template<class T, class Parser>
Outcome<void> ParseUnit(const SettingValue& aValue,
                        T& aResult,
                        Parser aParser,
                        const std::string& aExample)
{
  const auto* text = std::get_if<std::string>(&aValue.value);
  if (text == nullptr) {
    return Refuse(aValue, "a text with a unit, as in " + aExample);
  }
  BOOST_OUTCOME_TRY(auto parsed, aParser(*text));
  aResult = parsed;
  return outcome::success();
}

} // namespace

Outcome<void> ParseSetting(const SettingValue& aValue, std::string& aResult)
{
  const auto* text = std::get_if<std::string>(&aValue.value);
  if (text == nullptr || text->empty()) {
    return Refuse(aValue, "a text in quotes that is not empty");
  }
  aResult = *text;
  return outcome::success();
}

Outcome<void> ParseSetting(const SettingValue& aValue, bool& aResult)
{
  const auto* flag = std::get_if<bool>(&aValue.value);
  if (flag == nullptr) {
    return Refuse(aValue, "true or false");
  }
  aResult = *flag;
  return outcome::success();
}

Outcome<void> ParseSetting(const SettingValue& aValue, Endpoint& aResult)
{
  return ParseUnit(aValue, aResult, &Endpoint::Parse, "\"127.0.0.1:8080\"");
}

Outcome<void> ParseSetting(const SettingValue& aValue, ByteCount& aResult)
{
  return ParseUnit(aValue, aResult, &ParseByteCount, "\"8 MiB\"");
}

Outcome<void> ParseSetting(const SettingValue& aValue, BasisPoints& aResult)
{
  return ParseUnit(aValue, aResult, &ParseShare, "\"2.5 %\"");
}

Outcome<void> ParseSetting(const SettingValue& aValue, Duration& aResult)
{
  return ParseUnit(aValue, aResult, &ParseDuration, "\"250 ms\"");
}

Outcome<void> ParseSetting(const SettingValue& aValue,
                           std::chrono::milliseconds& aResult)
{
  Duration duration{ 0 };
  BOOST_OUTCOME_TRY(ParseSetting(aValue, duration));
  aResult = std::chrono::duration_cast<std::chrono::milliseconds>(duration);
  if (aResult != duration) {
    return Refuse(aValue, "a multiple of 1 ms");
  }
  return outcome::success();
}

Outcome<std::uint64_t> ParseWholeNumber(const SettingValue& aValue,
                                        std::uint64_t aMax)
{
  const auto* number = std::get_if<std::int64_t>(&aValue.value);
  if (number == nullptr || *number < 0 ||
      static_cast<std::uint64_t>(*number) > aMax) {
    return Refuse(aValue,
                  "a whole number from 0 to " + std::to_string(aMax) +
                    " without quotes");
  }
  return static_cast<std::uint64_t>(*number);
}

} // namespace lacewing
