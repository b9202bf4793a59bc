#include "config/SettingText.h"

#include "core/UnitText.h"

#include <sstream>

namespace lacewing {

namespace {

/** Stands for an empty list of methods, so that no cell is left open. */
constexpr const char* kNoMethods = "none";

auto Refuse(const std::string& aText, const std::string& aRemedy)
{
  return Fail(ErrorKind::kInvalidArgument, "\"" + aText + "\"", aRemedy);
}

std::chrono::milliseconds Milliseconds(std::uint64_t aCount)
{
  return std::chrono::milliseconds(aCount);
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
    BOOST_OUTCOME_TRY(const auto count, ParseCount(text));
    BOOST_OUTCOME_TRY(
      Range(count, std::to_string(field.min), std::to_string(field.max)));
    service.*aMember =
      StrongNumber<Tag, std::uint32_t>(static_cast<std::uint32_t>(count));
    return outcome::success();
  }

  Outcome<void> operator()(BasisPoints ServiceConfig::*aMember) const
  {
    BOOST_OUTCOME_TRY(service.*aMember, ParseShare(text));
    return outcome::success();
  }

  Outcome<void> operator()(
    std::chrono::milliseconds ServiceConfig::*aMember) const
  {
    BOOST_OUTCOME_TRY(const auto time, ParseDuration(text));
    BOOST_OUTCOME_TRY(Range(static_cast<std::uint64_t>(time.count()),
                            FormatDuration(Milliseconds(field.min)),
                            FormatDuration(Milliseconds(field.max))));
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
    return FormatDuration(service.*aMember);
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
