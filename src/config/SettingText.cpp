#include "config/SettingText.h"

#include "core/UnitText.h"

#include <algorithm>
#include <charconv>
#include <sstream>

namespace lacewing {

namespace {

/** Stands for an empty list of methods, so that no cell is left open. */
constexpr const char* kNoMethods = "none";

auto Refuse(const std::string& aText, const std::string& aRemedy)
{
  return Fail(ErrorKind::kInvalidArgument, "\"" + aText + "\"", aRemedy);
}

std::string FormatMilliseconds(std::uint64_t aCount)
{
  return aCount == 0 ? "0 ms"
                     : FormatDuration(std::chrono::milliseconds(aCount));
}

/** Parses the text into the member that it is called with. */
struct Parser
{
  const ServiceField& field;
  const std::string& text;
  ServiceConfig& service;

  Outcome<void> Range(std::uint64_t aNumber,
                      const std::string& aMin,
                      const std::string& aMax) const
  {
    if (aNumber < field.min || aNumber > field.max) {
      return Refuse(text, "write a value from " + aMin + " to " + aMax);
    }
    return outcome::success();
  }

  template<class Tag>
  Outcome<void> operator()(
    StrongNumber<Tag, std::uint32_t> ServiceConfig::*aMember) const
  {
    std::uint64_t count = 0;
    const char* last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, count);
    if (error != std::errc() || end != last) {
      return Refuse(text, "write a whole number, as in 6");
    }
    BOOST_OUTCOME_TRY(
      Range(count, std::to_string(field.min), std::to_string(field.max)));
    service.*aMember =
      StrongNumber<Tag, std::uint32_t>(static_cast<std::uint32_t>(count));
    return outcome::success();
  }

  Outcome<void> operator()(BasisPoints ServiceConfig::*aMember) const
  {
    // Spreadsheets of some languages export a decimal comma.
    std::string point = text;
    std::replace(point.begin(), point.end(), ',', '.');
    BOOST_OUTCOME_TRY(service.*aMember, ParseShare(point));
    return outcome::success();
  }

  Outcome<void> operator()(
    std::chrono::milliseconds ServiceConfig::*aMember) const
  {
    BOOST_OUTCOME_TRY(const auto exact, ParseDuration(text));
    const auto time =
      std::chrono::duration_cast<std::chrono::milliseconds>(exact);
    if (time != exact) {
      return Refuse(text, "write a whole number of ms, as in 250 ms");
    }
    BOOST_OUTCOME_TRY(Range(static_cast<std::uint64_t>(time.count()),
                            FormatMilliseconds(field.min),
                            FormatMilliseconds(field.max)));
    service.*aMember = time;
    return outcome::success();
  }

  Outcome<void> operator()(std::set<std::string> ServiceConfig::*aMember) const
  {
    std::set<std::string> methods;
    std::istringstream words(text == kNoMethods ? "" : text);
    for (std::string word; words >> word;) {
      if (!IsMethodText(word)) {
        return Refuse(text,
                      "write methods in capital letters with spaces between "
                      "them, as in GET HEAD, or none");
      }
      methods.insert(std::move(word));
    }
    if (methods.size() > field.max) {
      return Refuse(text,
                    "write at most " + std::to_string(field.max) + " methods");
    }
    service.*aMember = std::move(methods);
    return outcome::success();
  }
};

/** Formats the member that it is called with. */
struct Formatter
{
  const ServiceConfig& service;

  template<class Tag>
  std::string operator()(
    StrongNumber<Tag, std::uint32_t> ServiceConfig::*aMember) const
  {
    return std::to_string((service.*aMember).value());
  }
  std::string operator()(BasisPoints ServiceConfig::*aMember) const
  {
    return FormatShare(service.*aMember);
  }
  std::string operator()(
    std::chrono::milliseconds ServiceConfig::*aMember) const
  {
    return FormatMilliseconds(
      static_cast<std::uint64_t>((service.*aMember).count()));
  }
  std::string operator()(std::set<std::string> ServiceConfig::*aMember) const
  {
    std::string text;
    for (const std::string& method : service.*aMember) {
      text += (text.empty() ? "" : " ") + method;
    }
    return text.empty() ? kNoMethods : text;
  }
};

} // namespace

Outcome<void> ParseSetting(const ServiceField& aField,
                           const std::string& aText,
                           ServiceConfig& aService)
{
  return std::visit(Parser{ aField, aText, aService }, aField.member);
}

std::string FormatSetting(const ServiceField& aField,
                          const ServiceConfig& aService)
{
  return std::visit(Formatter{ aService }, aField.member);
}

} // namespace lacewing
