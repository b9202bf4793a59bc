#include "quota/AllowanceLease.h"

#include "quota/AllowanceTerms.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

// Tokens are asked for in advance for half of their validity, so that they are
// used before they end. A host that sends fewer than four of a customer's
// requests a second asks for one token for each.
constexpr std::chrono::duration<double> kUseAhead =
  AllowanceTerms::kValidity / 2;

} // namespace

void AllowanceLease::Add(TokenCount aTokens, TimePoint aValidUntil)
{
  for (TokenCount each; each < aTokens; ++each) {
    GiveBack({ aValidUntil });
  }
}

std::optional<AllowanceToken> AllowanceLease::Take(TimePoint aNow)
{
  Expire(aNow);
  if (tokens_.empty()) {
    return std::nullopt;
  }
  use_.Count(aNow);
  const AllowanceToken token = tokens_.front();
  tokens_.pop_front();
  return token;
}

void AllowanceLease::GiveBack(const AllowanceToken& aToken)
{
  const auto place = std::upper_bound(
    tokens_.begin(),
    tokens_.end(),
    aToken,
    [](const AllowanceToken& aLeft, const AllowanceToken& aRight) {
      return aLeft.validUntil < aRight.validUntil;
    });
  tokens_.insert(place, aToken);
}

TokenCount AllowanceLease::TakeUnused(TimePoint aNow)
{
  Expire(aNow);
  return std::exchange(unused_, TokenCount());
}

std::optional<TimePoint> AllowanceLease::NextExpiry() const
{
  return tokens_.empty() ? std::nullopt
                         : std::make_optional(tokens_.front().validUntil);
}

TokenCount AllowanceLease::SpareWanted(TimePoint aNow) const
{
  const double wanted = use_.PerSecond(aNow) * kUseAhead.count();
  return TokenCount(static_cast<std::uint32_t>(
    std::min<double>(wanted, AllowanceTerms::kMaxGrant - 1)));
}

void AllowanceLease::Expire(TimePoint aNow)
{
  while (!tokens_.empty() && tokens_.front().validUntil <= aNow) {
    tokens_.pop_front();
    ++unused_;
  }
}

} // namespace lacewing
