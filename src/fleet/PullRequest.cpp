#include "fleet/PullRequest.h"

#include "catalog/CatalogKind.h"

#include <algorithm>
#include <charconv>

namespace lacewing {

namespace {

constexpr std::string_view kQuery = "?after=";

/** Removes a number and the character after it from the start of aText. */
std::optional<std::uint64_t> TakeNumber(std::string_view& aText)
{
  std::uint64_t value = 0;
  const auto [end, error] =
    std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (error != std::errc()) {
    return std::nullopt;
  }
  aText.remove_prefix(static_cast<std::size_t>(end - aText.data()));
  aText.remove_prefix(std::min<std::size_t>(aText.size(), 1));
  return value;
}

} // namespace

std::string WritePullTarget(const std::vector<StorePosition>& aKnown)
{
  std::string text;
  for (const StorePosition position : aKnown) {
    text += (text.empty() ? "" : ",") + ToString(position);
  }
  return kPullPath + std::string(kQuery) + text;
}

/** Parses a list such as "1.12,1.40,2.7" into positions by CatalogKind. */
std::optional<std::vector<StorePosition>> ReadPullTarget(
  std::string_view aTarget)
{
  const std::size_t query = aTarget.find(kQuery);
  if (query == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view text = aTarget.substr(query + kQuery.size());
  std::vector<StorePosition> positions;
  while (!text.empty()) {
    const auto era = TakeNumber(text);
    const auto revision = TakeNumber(text);
    if (!era || !revision) {
      return std::nullopt;
    }
    positions.push_back({ StoreEra(*era), Revision(*revision) });
  }
  if (!IsNumberOfKinds(positions.size())) {
    return std::nullopt;
  }
  return positions;
}

bool IsNumberOfKinds(std::size_t aEntries)
{
  return aEntries >= kCatalogKinds.size() && aEntries <= kMaxCatalogKinds;
}

} // namespace lacewing
