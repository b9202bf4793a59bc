#include "core/UnitText.h"

#include <fmt/format.h>

#include <array>
#include <charconv>
#include <cstdint>
#include <limits>
#include <optional>
#include <string_view>

namespace lacewing {

namespace {

struct Unit
{
  std::string_view name;
  std::uint64_t factor;
};

// Ordered from the largest so that formatting picks the largest that divides.
constexpr std::array<Unit, 6> kDurationUnits{ {
  { "h", 3'600'000'000'000 },
  { "min", 60'000'000'000 },
  { "s", 1'000'000'000 },
  { "ms", 1'000'000 },
  { "us", 1'000 },
  { "ns", 1 },
} };

constexpr std::array<Unit, 4> kByteUnits{ {
  { "GiB", 1U << 30U },
  { "MiB", 1U << 20U },
  { "KiB", 1U << 10U },
  { "B", 1 },
} };

constexpr std::uint64_t kBasisPointsPerPercent = 100;

std::string_view TrimLeft(std::string_view aText)
{
  while (!aText.empty() && aText.front() == ' ') {
    aText.remove_prefix(1);
  }
  return aText;
}

template<std::size_t N>
std::optional<std::uint64_t> ParseWithUnit(std::string_view aText,
                                           const std::array<Unit, N>& aUnits)
{
  std::uint64_t number = 0;
  const char* const last = aText.data() + aText.size();
  const auto [end, error] = std::from_chars(aText.data(), last, number);
  if (error != std::errc()) {
    return std::nullopt;
  }
  const std::string_view name =
    TrimLeft(aText.substr(static_cast<std::size_t>(end - aText.data())));
  constexpr auto kMax =
    static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  for (const Unit& unit : aUnits) {
    if (name == unit.name && number <= kMax / unit.factor) {
      return number * unit.factor;
    }
  }
  return std::nullopt;
}

template<std::size_t N>
std::string FormatWithUnit(std::uint64_t aNumber,
                           const std::array<Unit, N>& aUnits)
{
  for (const Unit& unit : aUnits) {
    if (aNumber != 0 && aNumber % unit.factor == 0) {
      return fmt::format("{} {}", aNumber / unit.factor, unit.name);
    }
  }
  return fmt::format("0 {}", aUnits.back().name);
}

} // namespace

Outcome<Duration> ParseDuration(const std::string& aText)
{
  const auto parsed = ParseWithUnit(aText, kDurationUnits);
  if (!parsed) {
    return Fail(ErrorKind::kInvalidArgument,
                "\"" + aText + "\" is not a duration",
                "write a whole number with ns, us, ms, s, min or h, "
                "as in \"250 ms\"");
  }
  return Duration(static_cast<Duration::rep>(*parsed));
}

Outcome<ByteCount> ParseByteCount(const std::string& aText)
{
  const auto parsed = ParseWithUnit(aText, kByteUnits);
  if (!parsed) {
    return Fail(
      ErrorKind::kInvalidArgument,
      "\"" + aText + "\" is not a size",
      "write a whole number with B, KiB, MiB or GiB, as in \"8 MiB\"");
  }
  return ByteCount(*parsed);
}

Outcome<BasisPoints> ParseShare(const std::string& aText)
{
  const auto refuse = [&aText] {
    return Fail(ErrorKind::kInvalidArgument,
                "\"" + aText + "\" is not a percentage from 0 to 100",
                "write up to two decimals and a %, as in \"2.5 %\"");
  };
  const char* const last = aText.data() + aText.size();
  std::uint32_t whole = 0;
  auto [end, error] = std::from_chars(aText.data(), last, whole);
  if (error != std::errc() || whole > kBasisPointsPerPercent) {
    return refuse();
  }
  std::uint32_t points = whole * kBasisPointsPerPercent;
  if (end != last && *end == '.') {
    std::uint32_t weight = kBasisPointsPerPercent / 10;
    for (++end; end != last && *end >= '0' && *end <= '9'; ++end) {
      if (weight == 0) {
        return refuse();
      }
      points += static_cast<std::uint32_t>(*end - '0') * weight;
      weight /= 10;
    }
  }
  const std::string_view rest =
    TrimLeft(std::string_view(end, static_cast<std::size_t>(last - end)));
  if (rest != "%" || points > kBasisPointsPerPercent * 100) {
    return refuse();
  }
  return BasisPoints(points);
}

std::string FormatDuration(Duration aDuration)
{
  return FormatWithUnit(static_cast<std::uint64_t>(aDuration.count()),
                        kDurationUnits);
}

std::string FormatByteCount(ByteCount aBytes)
{
  return FormatWithUnit(aBytes.value(), kByteUnits);
}

std::string FormatShare(BasisPoints aShare)
{
  const std::uint32_t whole = aShare.value() / kBasisPointsPerPercent;
  const std::uint32_t rest = aShare.value() % kBasisPointsPerPercent;
  if (rest == 0) {
    return fmt::format("{} %", whole);
  }
  return fmt::format("{}.{:02} %", whole, rest);
}

} // namespace lacewing
