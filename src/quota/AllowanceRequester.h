#ifndef QUOTA_ALLOWANCEREQUESTER_H
#define QUOTA_ALLOWANCEREQUESTER_H

#include "quota/AllowanceAsk.h"
#include "quota/AllowanceCounters.h"
#include "quota/AllowanceGrant.h"
#include "quota/AllowanceLinks.h"
#include "quota/EqualParts.h"
#include "quota/SilentOwners.h"

#include <map>
#include <optional>

namespace lacewing {

/**
 * A host's requests to the owners: repeats a message that was lost, follows a
 * reply that names another owner, and uses the host's equal part of a limit
 * while its owner is unreachable.
 */
class AllowanceRequester
{
public:
  /** aFirst must be larger than any sequence that this host used before. */
  AllowanceRequester(HostAddress aSelf,
                     AllowanceSequence aFirst,
                     AllowanceLinks aLinks);

  /** Answers at once, or after AllowanceTerms::kMaxWait at the latest. */
  void OnAsk(const AllowanceAsk& aAsk, TimePoint aNow);

  void OnGrant(const AllowanceGrant& aGrant, TimePoint aNow);

  /** When OnTimer has to be called; empty if nothing waits. */
  std::optional<TimePoint> NextTimer() const;
  void OnTimer(TimePoint aNow);

  const AllowanceCounters& Counters() const { return counters_; }

private:
  struct Pending
  {
    AllowanceRequest request;
    HostAddress asked;
    TimePoint sentAt;
    TimePoint repeatAt;
    unsigned redirects = 0;
  };

  void Ask(const AllowanceAsk& aAsk, const HostAddress& aOwner, TimePoint aNow);
  void GiveBack(const AllowanceAsk& aAsk);
  /** Uses the equal part; returns whether all waiting requests are answered. */
  bool UseFallback(const AllowanceAsk& aAsk, TimePoint aSince, TimePoint aNow);
  /** By value: the reply may arrive before the call returns, and it ends the
   * pending request. */
  void Send(HostAddress aTo, AllowanceRequest aRequest);
  void Redirect(Pending& aPending, const AllowanceGrant& aGrant);
  void Accept(const Pending& aPending, const AllowanceGrant& aGrant);
  void OnTimeout(const Pending& aPending, TimePoint aNow);
  void AnswerNoOwner(const CustomerId& aCustomer);
  void Answer(AllowanceAnswer aAnswer, const RateLimit& aLimit);
  void OnLateGrant(const AllowanceGrant& aGrant);

  const HostAddress self_;
  const AllowanceLinks links_;
  AllowanceSequence sequence_;
  std::map<CustomerId, Pending> pending_;
  /** The last request of each customer that got no reply in time. */
  std::map<CustomerId, AllowanceSequence> timedOut_;
  /** Unused tokens to give back with a customer's next request. */
  std::map<CustomerId, TokenCount> unused_;
  EqualParts equalParts_;
  SilentOwners silent_;
  AllowanceCounters counters_;
};

} // namespace lacewing

#endif // QUOTA_ALLOWANCEREQUESTER_H
