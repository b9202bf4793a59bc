#ifndef QUOTA_CUSTOMERTOKENS_H
#define QUOTA_CUSTOMERTOKENS_H

#include "quota/AllowanceAnswer.h"
#include "quota/AllowanceAsk.h"
#include "quota/AllowanceLease.h"
#include "quota/AllowanceWaiter.h"
#include "quota/LocalDeferral.h"

#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace lacewing {

/** A host's tokens of one customer and the requests that wait for one. */
class CustomerTokens
{
public:
  /** A call that the gate makes once the state is consistent. */
  using Step = std::function<void()>;

  AllowanceLease& Lease() { return lease_; }
  LocalDeferral& Deferral() { return deferral_; }

  void Add(AllowanceWaiter aWaiter);
  void Cancel(AllowanceWaiterId aWaiter);

  /**
   * Returns what to ask for now; empty while an ask is in progress or if there
   * is nothing to ask for or to give back.
   */
  std::optional<AllowanceAsk> NextAsk(const CustomerId& aCustomer,
                                      TimePoint aNow);

  /** Applies an answer; returns the results of the requests that it decides. */
  std::vector<Step> OnAnswer(const AllowanceAnswer& aAnswer, TimePoint aNow);

  /** Returns the results of the requests that have waited too long. */
  std::vector<Step> OnTimer(TimePoint aNow);

  /** When OnTimer has to be called next; empty if nothing waits. */
  std::optional<TimePoint> NextTimer() const;

private:
  AllowanceLease lease_;
  LocalDeferral deferral_;
  std::deque<AllowanceWaiter> waiters_;
  bool asking_ = false;
};

} // namespace lacewing

#endif // QUOTA_CUSTOMERTOKENS_H
