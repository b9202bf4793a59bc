#ifndef QUOTA_ALLOWANCEACCOUNT_H
#define QUOTA_ALLOWANCEACCOUNT_H

#include "catalog/RateLimit.h"
#include "lacewing/HostId.h"
#include "quota/AllowanceGrant.h"
#include "quota/AllowanceRequest.h"
#include "quota/DeferredCallers.h"
#include "quota/HostAccount.h"
#include "quota/TokenBucket.h"

#include <map>
#include <optional>

namespace lacewing {

/** One customer's tokens at the owner. */
class AllowanceAccount
{
public:
  /** Starts without tokens, since an earlier owner may have granted some. */
  explicit AllowanceAccount(TimePoint aStart);

  /** aShare is the part of the limit that this owner may grant, 0 to 1. */
  void SetLimit(const RateLimit& aLimit, double aShare, TimePoint aNow);

  /** Whether the owner's part of the limit is at least one token. */
  bool CanGrant() const { return bucket_.Capacity() >= 1; }

  /**
   * Returns the reply; the earlier one if the request is a repetition. Empty
   * for a request that is older than the host's last one.
   */
  std::optional<AllowanceGrant> OnRequest(const AllowanceRequest& aRequest,
                                          TimePoint aNow);

  /**
   * The owner did not run from aFrom to aNow, and another one may have granted
   * tokens for aOther of that time.
   */
  void OnPause(TimePoint aFrom, TimePoint aNow, Duration aOther);

  /** Removes the records of hosts that have not asked for long. */
  void Forget(TimePoint aNow);

private:
  TokenCount GrantSize(const AllowanceRequest& aRequest) const;
  void CreditUnused(HostAccount& aHost, TokenCount aUnused, TimePoint aNow);

  TokenBucket bucket_;
  /** Limits how many unused tokens are credited; see CreditUnused. */
  TokenBucket credits_;
  DeferredCallers deferred_;
  std::map<HostId, HostAccount> hosts_;
};

} // namespace lacewing

#endif // QUOTA_ALLOWANCEACCOUNT_H
