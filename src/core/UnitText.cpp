#include "core/UnitText.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

namespace lacewing {

namespace {

constexpr const char* kCountRemedy = "write a whole number, as in 6";
constexpr const char* kDurationRemedy =
  "write a time with its unit (ms, s, min or h), as in 250 ms";
constexpr const char* kShareRemedy =
  "write a share with at most two decimals, as in 1 %";

struct TimeUnit
{
  const char* name;
  std::uint64_t milliseconds;
};

/** Largest first, as FormatDuration tries them. */
constexpr std::array<TimeUnit, 4> kTimeUnits{ {
  { "h", 3'600'000 },
  { "min", 60'000 },
  { "s", 1'000 },
  { "ms", 1 },
} };

/** Times beyond this are typing errors; keeps products within 64 bits. */
constexpr std::uint64_t kMaxNumber = 1'000'000'000;

auto Refuse(std::string_view aText, const char* aRemedy)
{
  return Fail(ErrorKind::kInvalidArgument,
              "\"" + std::string(aText) + "\" is not understood",
              aRemedy);
}

std::optional<std::uint64_t> WholeNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  const char* last = aText.data() + aText.size();
  const auto [end, error] = std::from_chars(aText.data(), last, number);
  if (aText.empty() || error != std::errc() || end != last ||
      number > kMaxNumber) {
    return std::nullopt;
  }
  return number;
}

/** Splits "12.5 ms" into its number and its unit. */
std::pair<std::string_view, std::string_view> SplitUnit(std::string_view aText)
{
  const auto end = aText.find_first_not_of("0123456789.,");
  if (end == std::string_view::npos) {
    return { aText, {} };
  }
  const std::string_view number = aText.substr(0, end);
  std::string_view unit = aText.substr(end);
  unit.remove_prefix(std::min(unit.find_first_not_of(' '), unit.size()));
  return { number, unit };
}

/** The decimal number times aScale, if that is a whole number. */
std::optional<std::uint64_t> Scaled(std::string_view aNumber,
                                    std::uint64_t aScale)
{
  const auto mark = aNumber.find_first_of(".,");
  const auto whole = WholeNumber(aNumber.substr(0, mark));
  if (!whole) {
    return std::nullopt;
  }
  std::uint64_t result = *whole * aScale;
  if (mark == std::string_view::npos) {
    return result;
  }
  std::string_view decimals = aNumber.substr(mark + 1);
  if (decimals.empty()) {
    return std::nullopt;
  }
  std::uint64_t scale = aScale;
  for (const char digit : decimals) {
    if (digit < '0' || digit > '9') {
      return std::nullopt;
    }
    const auto value = static_cast<std::uint64_t>(digit - '0');
    if (value * scale % 10 != 0) {
      return std::nullopt;
    }
    result += value * scale / 10;
    // A scale that is used up leaves room for zeros only.
    scale = scale % 10 == 0 ? scale / 10 : 0;
  }
  return result;
}

} // namespace

Outcome<std::uint64_t> ParseCount(std::string_view aText)
{
  const auto number = WholeNumber(aText);
  if (!number) {
    return Refuse(aText, kCountRemedy);
  }
  return *number;
}

Outcome<std::chrono::milliseconds> ParseDuration(std::string_view aText)
{
  const auto [number, name] = SplitUnit(aText);
  for (const TimeUnit& unit : kTimeUnits) {
    if (name == unit.name) {
      const auto time = Scaled(number, unit.milliseconds);
      if (!time) {
        break;
      }
      return std::chrono::milliseconds(*time);
    }
  }
  return Refuse(aText, kDurationRemedy);
}

Outcome<BasisPoints> ParseShare(std::string_view aText)
{
  constexpr std::uint64_t kPerCent = 100;
  constexpr std::uint64_t kWhole = 100 * kPerCent;
  const auto [number, unit] = SplitUnit(aText);
  const auto share = Scaled(number, kPerCent);
  if (unit != "%" || !share || *share > kWhole) {
    return Refuse(aText, kShareRemedy);
  }
  return BasisPoints(static_cast<std::uint32_t>(*share));
}

std::string FormatDuration(std::chrono::milliseconds aTime)
{
  const auto time = static_cast<std::uint64_t>(aTime.count());
  for (const TimeUnit& unit : kTimeUnits) {
    if (time != 0 && time % unit.milliseconds == 0) {
      return std::to_string(time / unit.milliseconds) + " " + unit.name;
    }
  }
  return std::to_string(time) + " ms";
}

std::string FormatShare(BasisPoints aShare)
{
  constexpr std::uint32_t kPerCent = 100;
  std::string text = std::to_string(aShare.value() / kPerCent);
  if (aShare.value() % kPerCent != 0) {
    std::string decimals = std::to_string(kPerCent + aShare.value() % kPerCent);
    decimals.erase(0, 1);
    if (decimals.back() == '0') {
      decimals.pop_back();
    }
    text += "." + decimals;
  }
  return text + " %";
}

} // namespace lacewing
