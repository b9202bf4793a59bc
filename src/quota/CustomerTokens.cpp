#include "quota/CustomerTokens.h"

#include "quota/AllowanceTerms.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

CustomerTokens::Step ResultOf(AllowanceWaiter aWaiter, AllowanceResult aResult)
{
  return [handler = std::move(aWaiter.handler), aResult] { handler(aResult); };
}

} // namespace

void CustomerTokens::Add(AllowanceWaiter aWaiter)
{
  waiters_.push_back(std::move(aWaiter));
}

void CustomerTokens::Cancel(AllowanceWaiterId aWaiter)
{
  const auto found = std::find_if(
    waiters_.begin(), waiters_.end(), [aWaiter](const AllowanceWaiter& aEach) {
      return aEach.id == aWaiter;
    });
  if (found != waiters_.end()) {
    waiters_.erase(found);
  }
}

std::optional<AllowanceAsk> CustomerTokens::NextAsk(const CustomerId& aCustomer,
                                                    TimePoint aNow)
{
  if (asking_) {
    return std::nullopt;
  }
  AllowanceAsk ask;
  ask.customer = aCustomer;
  ask.unused = lease_.TakeUnused(aNow);
  if (waiters_.empty()) {
    return ask.unused > TokenCount(0) ? std::make_optional(ask) : std::nullopt;
  }
  for (AllowanceWaiter& waiter : waiters_) {
    waiter.asked = true;
    ++ask.waiting;
  }
  ask.spare = lease_.SpareWanted(aNow);
  asking_ = true;
  return ask;
}

std::vector<CustomerTokens::Step> CustomerTokens::OnAnswer(
  const AllowanceAnswer& aAnswer,
  TimePoint aNow)
{
  asking_ = false;
  lease_.Add(aAnswer.tokens, aAnswer.validUntil);
  if (aAnswer.tokens > TokenCount(0)) {
    deferral_.OnGranted();
  }
  std::vector<Step> steps;
  std::deque<AllowanceWaiter> later;
  Duration retryAfter = aAnswer.retryAfter;
  while (!waiters_.empty()) {
    AllowanceWaiter waiter = std::move(waiters_.front());
    waiters_.pop_front();
    const auto token = lease_.Take(aNow);
    if (token) {
      steps.push_back(ResultOf(std::move(waiter),
                               { AllowanceVerdict::kGranted, *token, {} }));
    } else if (!waiter.asked || aAnswer.rest == AllowanceVerdict::kGranted) {
      waiter.asked = false;
      later.push_back(std::move(waiter));
    } else {
      if (aAnswer.rest == AllowanceVerdict::kOverLimit) {
        deferral_.OnRefused(aAnswer, aNow);
      }
      steps.push_back(
        ResultOf(std::move(waiter), { aAnswer.rest, {}, retryAfter }));
      retryAfter =
        std::min(retryAfter + aAnswer.spacing,
                 std::max(retryAfter, Duration(DeferredCallers::kLongest)));
    }
  }
  waiters_ = std::move(later);
  return steps;
}

std::vector<CustomerTokens::Step> CustomerTokens::OnTimer(TimePoint aNow)
{
  lease_.Expire(aNow);
  std::vector<Step> steps;
  while (!waiters_.empty() && waiters_.front().deadline <= aNow) {
    AllowanceWaiter waiter = std::move(waiters_.front());
    waiters_.pop_front();
    steps.push_back(ResultOf(
      std::move(waiter),
      { AllowanceVerdict::kNoOwner, {}, AllowanceTerms::kNoOwnerRetryAfter }));
  }
  return steps;
}

std::optional<TimePoint> CustomerTokens::NextTimer() const
{
  const auto expiry = lease_.NextExpiry();
  if (waiters_.empty()) {
    return expiry;
  }
  const TimePoint deadline = waiters_.front().deadline;
  return expiry ? std::min(*expiry, deadline) : deadline;
}

} // namespace lacewing
