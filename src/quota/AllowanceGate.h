#ifndef QUOTA_ALLOWANCEGATE_H
#define QUOTA_ALLOWANCEGATE_H

#include "lacewing/Clock.h"
#include "lacewing/CustomerId.h"
#include "quota/AllowanceAnswer.h"
#include "quota/AllowanceAsk.h"
#include "quota/AllowanceWaiter.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace lacewing {

/**
 * The tokens of a host and the requests that wait for one. Only the traffic
 * thread uses it.
 */
class AllowanceGate
{
public:
  /** Passes an ask to the control thread, which calls OnAnswer later. */
  using Asker = std::function<void(const AllowanceAsk&)>;
  using Handler = std::function<void(const AllowanceResult&)>;

  AllowanceGate(asio::io_context& aContext, const Clock& aClock, Asker aAsker);
  ~AllowanceGate();
  AllowanceGate(const AllowanceGate&) = delete;
  AllowanceGate& operator=(const AllowanceGate&) = delete;

  /** Takes a token that is there now; empty without one. */
  std::optional<AllowanceToken> TryTake(const CustomerId& aCustomer);

  /**
   * Returns when the caller may return if the customer is so far over its limit
   * that the owner is not asked; empty otherwise.
   */
  std::optional<Duration> RefuseNow(const CustomerId& aCustomer);

  /**
   * Asks for a token. Calls aHandler later, within AllowanceTerms::kMaxWait,
   * unless the id that is returned is cancelled.
   */
  AllowanceWaiterId Wait(const CustomerId& aCustomer, Handler aHandler);
  void Cancel(const CustomerId& aCustomer, AllowanceWaiterId aWaiter);

  /** Returns a token that was not used; one that has ended goes to the owner.
   */
  void GiveBack(const CustomerId& aCustomer, const AllowanceToken& aToken);

  /** The control thread's answer to an ask, posted to this thread. */
  void OnAnswer(const AllowanceAnswer& aAnswer);

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // QUOTA_ALLOWANCEGATE_H
