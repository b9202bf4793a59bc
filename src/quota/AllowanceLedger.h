#ifndef QUOTA_ALLOWANCELEDGER_H
#define QUOTA_ALLOWANCELEDGER_H

#include "quota/AllowanceAccount.h"
#include "quota/CustomerLimit.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace lacewing {

/**
 * The token buckets of the customers that this host owns. Grants in any window
 * stay below rate x time + burst: a bucket starts empty, a repeated request is
 * granted once, and a pause of the process adds nothing to the buckets.
 */
class AllowanceLedger
{
public:
  /**
   * After a pause of this length another host may own the customers: hosts of a
   * small zone are unresponsive after 600 ms.
   */
  static constexpr Duration kLongestGap = std::chrono::milliseconds(500);

  explicit AllowanceLedger(TimePoint aStart);

  /**
   * Sets the customers that this host owns, their newest limits and the part
   * of them that it may grant, 0 to 1. Others are dropped with their tokens.
   */
  void SetOwned(const std::vector<CustomerLimit>& aOwned,
                double aShare,
                TimePoint aNow);

  /**
   * Notes that the process runs. Called in each step of the control thread, so
   * that a longer gap shows a pause.
   */
  void Advance(TimePoint aNow);

  /**
   * Returns the reply. Its member owner is false if this host does not own the
   * customer or its part of the limit is less than a token. Empty for a
   * message that needs no reply because it is out of date.
   */
  std::optional<AllowanceGrant> OnRequest(const AllowanceRequest& aRequest,
                                          TimePoint aNow);

  std::size_t Owned() const { return accounts_.size(); }

private:
  std::unordered_map<CustomerId, AllowanceAccount> accounts_;
  TimePoint lastAt_;
  TimePoint forgetAt_;
};

} // namespace lacewing

#endif // QUOTA_ALLOWANCELEDGER_H
