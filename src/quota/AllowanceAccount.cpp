#include "quota/AllowanceAccount.h"

#include "quota/AllowanceTerms.h"

#include <algorithm>

namespace lacewing {

namespace {

// A grant beyond the waiting requests takes at most this part of the bucket,
// so that the hosts that ask next find tokens.
constexpr unsigned kGrantDivisor = 8;
// A token that is given back was granted up to HostAccount::kReturnTime before
// and may be granted again in a window that it did not belong to. These credits
// a second, times 3 for that time and the burst, use less than half of what
// the window limit leaves: the slack of 20 and a tenth of the burst.
constexpr double kCredits = 2;
constexpr double kCreditsPerBurst = 0.015;

} // namespace

AllowanceAccount::AllowanceAccount(TimePoint aStart)
  : bucket_(aStart)
  , credits_(aStart)
{
}

void AllowanceAccount::SetLimit(const RateLimit& aLimit,
                                double aShare,
                                TimePoint aNow)
{
  bucket_.SetLimit(aLimit.perSecond * aShare, aLimit.burst * aShare, aNow);
  const double credits = kCredits + kCreditsPerBurst * aLimit.burst;
  credits_.SetLimit(credits, credits, aNow);
}

std::optional<AllowanceGrant> AllowanceAccount::OnRequest(
  const AllowanceRequest& aRequest,
  TimePoint aNow)
{
  HostAccount& host = hosts_[aRequest.from.host];
  if (aRequest.sequence == host.LastReply().sequence) {
    return host.LastReply();
  }
  if (aRequest.sequence < host.LastReply().sequence) {
    return std::nullopt;
  }
  host.Touch(aNow);
  bucket_.Refill(aNow);
  CreditUnused(host, aRequest.unused, aNow);
  AllowanceGrant grant;
  grant.customer = aRequest.customer;
  grant.sequence = aRequest.sequence;
  grant.owner = true;
  grant.validFor = AllowanceTerms::kValidity;
  grant.tokens = GrantSize(aRequest);
  bucket_.Take(grant.tokens);
  host.OnGranted(grant.tokens, aNow);
  const auto spacing = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(1 / std::max(bucket_.PerSecond(), 1e-3)));
  for (TokenCount each = grant.tokens; each < aRequest.waiting; ++each) {
    const Duration after =
      deferred_.Defer(aNow, bucket_.TimeUntilToken(), spacing);
    grant.retryAfter = each == grant.tokens ? after : grant.retryAfter;
  }
  host.SetReply(grant);
  return grant;
}

TokenCount AllowanceAccount::GrantSize(const AllowanceRequest& aRequest) const
{
  const TokenCount whole = bucket_.Whole();
  if (!(aRequest.waiting < whole)) {
    return whole;
  }
  const TokenCount part(
    std::min(whole.value() / kGrantDivisor, AllowanceTerms::kMaxGrant));
  return std::max(aRequest.waiting,
                  std::min(part, aRequest.waiting + aRequest.spare));
}

void AllowanceAccount::CreditUnused(HostAccount& aHost,
                                    TokenCount aUnused,
                                    TimePoint aNow)
{
  credits_.Refill(aNow);
  const TokenCount accepted =
    std::min(aHost.OnGivenBack(aUnused, aNow), credits_.Whole());
  credits_.Take(accepted);
  bucket_.Put(accepted);
}

void AllowanceAccount::OnPause(TimePoint aFrom, TimePoint aNow, Duration aOther)
{
  bucket_.Refill(aFrom);
  bucket_.Skip(aNow, aOther);
}

void AllowanceAccount::Forget(TimePoint aNow)
{
  for (auto host = hosts_.begin(); host != hosts_.end();) {
    host = host->second.Idle(aNow) ? hosts_.erase(host) : std::next(host);
  }
}

} // namespace lacewing
