#include "decision/RetryBudget.h"

#include <algorithm>

namespace lacewing {

namespace {

constexpr std::uint64_t kRetry = 10000;
// Retries that may be saved: enough for the requests in progress at the
// targets of one failed zone.
constexpr std::uint64_t kMostCredit = 50 * kRetry;

} // namespace

RetryBudget::RetryBudget(BasisPoints aShare)
  : share_(aShare)
  , credit_(aShare.value() == 0 ? 0 : kMostCredit)
{
}

void RetryBudget::OnRequest()
{
  credit_ = std::min(kMostCredit, credit_ + share_.value());
}

bool RetryBudget::Take()
{
  if (credit_ < kRetry) {
    return false;
  }
  credit_ -= kRetry;
  return true;
}

} // namespace lacewing
