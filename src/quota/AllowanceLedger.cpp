#include "quota/AllowanceLedger.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

// How often records of hosts that no longer ask are removed.
constexpr Duration kForgetPeriod = std::chrono::seconds(5);

} // namespace

AllowanceLedger::AllowanceLedger(TimePoint aStart)
  : lastAt_(aStart)
  , forgetAt_(aStart + kForgetPeriod)
{
}

void AllowanceLedger::SetOwned(const std::vector<CustomerLimit>& aOwned,
                               double aShare,
                               TimePoint aNow)
{
  Advance(aNow);
  std::unordered_map<CustomerId, AllowanceAccount> accounts;
  for (const CustomerLimit& owned : aOwned) {
    auto kept = accounts_.extract(owned.customer);
    AllowanceAccount& account =
      accounts
        .emplace(owned.customer,
                 kept.empty() ? AllowanceAccount(aNow)
                              : std::move(kept.mapped()))
        .first->second;
    account.SetLimit(owned.limit, aShare, aNow);
  }
  accounts_ = std::move(accounts);
}

void AllowanceLedger::Advance(TimePoint aNow)
{
  const TimePoint before = lastAt_;
  const Duration gap = aNow - before;
  lastAt_ = std::max(lastAt_, aNow);
  const bool forget = forgetAt_ <= aNow;
  forgetAt_ = forget ? aNow + kForgetPeriod : forgetAt_;
  if (gap <= kLongestGap && !forget) {
    return;
  }
  for (auto& [customer, account] : accounts_) {
    if (gap > kLongestGap) {
      account.OnPause(before, aNow, gap - kLongestGap);
    }
    if (forget) {
      account.Forget(aNow);
    }
  }
}

std::optional<AllowanceGrant> AllowanceLedger::OnRequest(
  const AllowanceRequest& aRequest,
  TimePoint aNow)
{
  Advance(aNow);
  const auto account = accounts_.find(aRequest.customer);
  if (account != accounts_.end() && account->second.CanGrant()) {
    return account->second.OnRequest(aRequest, aNow);
  }
  AllowanceGrant refusal;
  refusal.customer = aRequest.customer;
  refusal.sequence = aRequest.sequence;
  return refusal;
}

} // namespace lacewing
