#include "quota/AllowanceGate.h"

#include "core/OneShotTimer.h"
#include "quota/AllowanceTerms.h"
#include "quota/CustomerTokens.h"

#include <iterator>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace lacewing {

struct AllowanceGate::Impl
{
  const Clock& clock;
  const Asker asker;
  OneShotTimer timer;
  std::optional<TimePoint> armedAt;
  std::unordered_map<CustomerId, CustomerTokens> customers;
  /** Customers with waiting requests or tokens; the others need no timer. */
  std::unordered_set<CustomerId> active;
  AllowanceWaiterId lastWaiter;

  Impl(asio::io_context& aContext, const Clock& aClock, Asker aAsker)
    : clock(aClock)
    , asker(std::move(aAsker))
    , timer(aContext)
  {
  }

  void Ask(const CustomerId& aCustomer)
  {
    if (const auto ask = customers[aCustomer].NextAsk(aCustomer, clock.Now())) {
      asker(*ask);
    }
  }

  /** Arms the timer for the earliest of a wait's end and a token's end. */
  void ArmTimer()
  {
    std::optional<TimePoint> next;
    for (auto customer = active.begin(); customer != active.end();) {
      const auto at = customers[*customer].NextTimer();
      if (at && (!next || *at < *next)) {
        next = at;
      }
      customer = at ? std::next(customer) : active.erase(customer);
    }
    if (next == armedAt) {
      return;
    }
    armedAt = next;
    if (next) {
      timer.ArmAt(*next, [this] { OnTimer(); });
    } else {
      timer.Cancel();
    }
  }

  void OnTimer()
  {
    armedAt.reset();
    const TimePoint now = clock.Now();
    std::vector<CustomerTokens::Step> steps;
    std::vector<AllowanceAsk> asks;
    for (const CustomerId& customer : active) {
      CustomerTokens& tokens = customers[customer];
      for (CustomerTokens::Step& step : tokens.OnTimer(now)) {
        steps.push_back(std::move(step));
      }
      if (const auto ask = tokens.NextAsk(customer, now)) {
        asks.push_back(*ask);
      }
    }
    for (const AllowanceAsk& ask : asks) {
      asker(ask);
    }
    Run(steps);
  }

  /** Handlers may call the gate, so they run at the end. */
  void Run(const std::vector<CustomerTokens::Step>& aSteps)
  {
    for (const CustomerTokens::Step& step : aSteps) {
      step();
    }
    ArmTimer();
  }
};

AllowanceGate::AllowanceGate(asio::io_context& aContext,
                             const Clock& aClock,
                             Asker aAsker)
  : impl_(std::make_unique<Impl>(aContext, aClock, std::move(aAsker)))
{
}

AllowanceGate::~AllowanceGate() = default;

std::optional<AllowanceToken> AllowanceGate::TryTake(
  const CustomerId& aCustomer)
{
  const auto found = impl_->customers.find(aCustomer);
  return found == impl_->customers.end()
           ? std::nullopt
           : found->second.Lease().Take(impl_->clock.Now());
}

std::optional<Duration> AllowanceGate::RefuseNow(const CustomerId& aCustomer)
{
  const auto found = impl_->customers.find(aCustomer);
  return found == impl_->customers.end()
           ? std::nullopt
           : found->second.Deferral().Refuse(impl_->clock.Now());
}

AllowanceWaiterId AllowanceGate::Wait(const CustomerId& aCustomer,
                                      Handler aHandler)
{
  AllowanceWaiter waiter;
  waiter.id = ++impl_->lastWaiter;
  waiter.deadline = impl_->clock.Now() + AllowanceTerms::kMaxWait;
  waiter.handler = std::move(aHandler);
  const AllowanceWaiterId id = waiter.id;
  impl_->customers[aCustomer].Add(std::move(waiter));
  impl_->active.insert(aCustomer);
  impl_->Ask(aCustomer);
  impl_->ArmTimer();
  return id;
}

void AllowanceGate::Cancel(const CustomerId& aCustomer,
                           AllowanceWaiterId aWaiter)
{
  impl_->customers[aCustomer].Cancel(aWaiter);
}

void AllowanceGate::GiveBack(const CustomerId& aCustomer,
                             const AllowanceToken& aToken)
{
  impl_->customers[aCustomer].Lease().GiveBack(aToken);
  impl_->active.insert(aCustomer);
  impl_->ArmTimer();
}

void AllowanceGate::OnAnswer(const AllowanceAnswer& aAnswer)
{
  CustomerTokens& tokens = impl_->customers[aAnswer.customer];
  const auto steps = tokens.OnAnswer(aAnswer, impl_->clock.Now());
  impl_->active.insert(aAnswer.customer);
  impl_->Ask(aAnswer.customer);
  impl_->Run(steps);
}

} // namespace lacewing
