#ifndef GATEWAY_ALLOWANCESTEP_H
#define GATEWAY_ALLOWANCESTEP_H

#include "catalog/CustomerSpec.h"
#include "gateway/TrafficState.h"
#include "quota/AllowanceResult.h"
#include "quota/AllowanceWaiter.h"

#include <functional>
#include <optional>

namespace lacewing {

/**
 * The tokens of one request: takes one before each attempt and returns it if
 * the attempt was proved not to have run. Allows everything for a request whose
 * customer has no limit.
 */
class AllowanceStep
{
public:
  using Handler = std::function<void(AllowanceVerdict)>;

  explicit AllowanceStep(TrafficState& aState);
  /** Cancels a wait and returns a token that was not used. */
  ~AllowanceStep();
  AllowanceStep(const AllowanceStep&) = delete;
  AllowanceStep& operator=(const AllowanceStep&) = delete;

  /** aCustomer may be null and must stay valid. */
  void SetCustomer(const CustomerSpec* aCustomer);

  /**
   * Takes the token for the next attempt. Calls aHandler with the verdict,
   * before it returns or within AllowanceTerms::kMaxWait.
   */
  void Take(Handler aHandler);

  /** Takes a token that is there now; returns whether there was one. */
  bool TakeNow();

  bool Waiting() const { return waiter_.has_value(); }

  /** When the caller may return if the last verdict refused it, else aOther. */
  std::optional<Duration> RetryAfter(std::optional<Duration> aOther) const
  {
    return retryAfter_ ? retryAfter_ : aOther;
  }

  /**
   * Uses the token for an attempt that is sent now, right after Take or TakeNow
   * has succeeded. Empty for a request without a limit.
   */
  std::optional<AllowanceToken> Spend();

  /** Returns the token of an attempt that was proved not to have run. */
  void GiveBack(const std::optional<AllowanceToken>& aUsed);

  /** Ends a wait and returns a token that was not used. */
  void Release();

private:
  bool Limited() const;

  TrafficState& state_;
  const CustomerSpec* customer_ = nullptr;
  std::optional<AllowanceToken> token_;
  std::optional<AllowanceWaiterId> waiter_;
  std::optional<Duration> retryAfter_;
};

} // namespace lacewing

#endif // GATEWAY_ALLOWANCESTEP_H
