#include "quota/AllowanceRequester.h"

#include "core/Log.h"
#include "quota/AllowanceTerms.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lacewing {

namespace {

// Hosts whose views differ could send a request around for ever.
constexpr unsigned kMaxRedirects = 2;

} // namespace

AllowanceRequester::AllowanceRequester(HostAddress aSelf,
                                       AllowanceSequence aFirst,
                                       AllowanceLinks aLinks)
  : self_(std::move(aSelf))
  , links_(std::move(aLinks))
  , sequence_(aFirst)
{
}

void AllowanceRequester::OnAsk(const AllowanceAsk& aAsk, TimePoint aNow)
{
  if (aAsk.waiting == TokenCount(0)) {
    GiveBack(aAsk);
    return;
  }
  if (!links_.limitOf(aAsk.customer).IsSet()) {
    // The limit was removed while the request waited.
    AllowanceAnswer answer;
    answer.customer = aAsk.customer;
    answer.tokens = aAsk.waiting;
    answer.validUntil = aNow + AllowanceTerms::kValidity;
    links_.answer(answer);
    return;
  }
  const auto owner = links_.ownerOf(aAsk.customer);
  if (owner) {
    silent_.OnHeard(HostId());
  } else {
    silent_.OnTimeout(HostId(), aNow);
  }
  const auto since = silent_.UnreachableSince(owner ? owner->host : HostId());
  if (owner && !since) {
    equalParts_.Forget(aAsk.customer);
    Ask(aAsk, *owner, aNow);
  } else if (since && UseFallback(aAsk, *since, aNow)) {
    return;
  } else if (owner && equalParts_.RetryIsDue(aAsk.customer, aNow)) {
    Ask(aAsk, *owner, aNow);
  } else {
    unused_[aAsk.customer] += aAsk.unused;
    AnswerNoOwner(aAsk.customer);
  }
}

void AllowanceRequester::Ask(const AllowanceAsk& aAsk,
                             const HostAddress& aOwner,
                             TimePoint aNow)
{
  Pending pending;
  pending.request.from = self_;
  pending.request.customer = aAsk.customer;
  pending.request.sequence = ++sequence_;
  pending.request.waiting = aAsk.waiting;
  pending.request.spare = aAsk.spare;
  pending.request.unused =
    aAsk.unused + std::exchange(unused_[aAsk.customer], TokenCount());
  pending.asked = aOwner;
  pending.sentAt = aNow;
  pending.repeatAt = aNow + AllowanceTerms::kRepeatAfter;
  counters_.givenBack += pending.request.unused.value();
  pending_.insert_or_assign(aAsk.customer, pending);
  Send(aOwner, pending.request);
}

void AllowanceRequester::GiveBack(const AllowanceAsk& aAsk)
{
  const auto owner = links_.ownerOf(aAsk.customer);
  // A later sequence would make the owner drop the pending request.
  if (!owner || pending_.count(aAsk.customer) > 0) {
    unused_[aAsk.customer] += aAsk.unused;
    return;
  }
  AllowanceRequest request;
  request.from = self_;
  request.customer = aAsk.customer;
  request.sequence = ++sequence_;
  request.unused =
    aAsk.unused + std::exchange(unused_[aAsk.customer], TokenCount());
  counters_.givenBack += request.unused.value();
  Send(*owner, request);
}

bool AllowanceRequester::UseFallback(const AllowanceAsk& aAsk,
                                     TimePoint aSince,
                                     TimePoint aNow)
{
  const RateLimit limit = links_.limitOf(aAsk.customer);
  AllowanceAnswer answer;
  answer.customer = aAsk.customer;
  answer.validUntil = aNow + AllowanceTerms::kValidity;
  answer.rest = AllowanceVerdict::kNoOwner;
  answer.tokens = equalParts_.Take(aAsk.customer,
                                   aAsk.waiting,
                                   limit,
                                   links_.hosts(),
                                   links_.draw,
                                   aSince,
                                   aNow);
  if (answer.tokens == TokenCount(0)) {
    return false;
  }
  counters_.fallback += answer.tokens.value();
  unused_[aAsk.customer] += aAsk.unused;
  Answer(answer, limit);
  return true;
}

void AllowanceRequester::Send(HostAddress aTo, AllowanceRequest aRequest)
{
  ++counters_.sent;
  links_.send(aTo, aRequest);
}

void AllowanceRequester::OnGrant(const AllowanceGrant& aGrant, TimePoint aNow)
{
  const auto pending = pending_.find(aGrant.customer);
  if (pending == pending_.end() ||
      pending->second.request.sequence != aGrant.sequence) {
    OnLateGrant(aGrant);
    return;
  }
  if (!aGrant.owner) {
    Redirect(pending->second, aGrant);
    return;
  }
  if (silent_.OnHeard(pending->second.asked.host)) {
    Log(LogLevel::kInfo,
        "allowance",
        { { "owner", pending->second.asked.host.value() },
          { "state", "reachable" } });
  }
  const Pending ended = std::move(pending->second);
  pending_.erase(pending);
  if (ended.sentAt + AllowanceTerms::kMaxWait <= aNow) {
    // The timer is late, and nobody waits any more.
    timedOut_[aGrant.customer] = aGrant.sequence;
    OnLateGrant(aGrant);
    AnswerNoOwner(aGrant.customer);
    return;
  }
  Accept(ended, aGrant);
}

void AllowanceRequester::Redirect(Pending& aPending,
                                  const AllowanceGrant& aGrant)
{
  if (aGrant.ask.empty() || aPending.redirects == kMaxRedirects ||
      aGrant.ask.front().host == aPending.asked.host) {
    return;
  }
  ++aPending.redirects;
  aPending.asked = aGrant.ask.front();
  Send(aPending.asked, aPending.request);
}

void AllowanceRequester::Accept(const Pending& aPending,
                                const AllowanceGrant& aGrant)
{
  counters_.leased += aGrant.tokens.value();
  AllowanceAnswer answer;
  answer.customer = aGrant.customer;
  answer.tokens = aGrant.tokens;
  answer.validUntil =
    aPending.sentAt + std::min(aGrant.validFor, AllowanceTerms::kValidity);
  answer.rest = AllowanceVerdict::kOverLimit;
  answer.retryAfter = aGrant.retryAfter;
  Answer(answer, links_.limitOf(aGrant.customer));
}

void AllowanceRequester::OnLateGrant(const AllowanceGrant& aGrant)
{
  const auto late = timedOut_.find(aGrant.customer);
  if (aGrant.owner && late != timedOut_.end() &&
      late->second == aGrant.sequence) {
    timedOut_.erase(late);
    unused_[aGrant.customer] += aGrant.tokens;
  }
}

std::optional<TimePoint> AllowanceRequester::NextTimer() const
{
  std::optional<TimePoint> next;
  for (const auto& [customer, pending] : pending_) {
    const TimePoint at =
      std::min(pending.repeatAt, pending.sentAt + AllowanceTerms::kMaxWait);
    next = next ? std::min(*next, at) : at;
  }
  return next;
}

void AllowanceRequester::OnTimer(TimePoint aNow)
{
  std::vector<CustomerId> due;
  for (const auto& [customer, pending] : pending_) {
    if (std::min(pending.repeatAt, pending.sentAt + AllowanceTerms::kMaxWait) <=
        aNow) {
      due.push_back(customer);
    }
  }
  for (const CustomerId& customer : due) {
    const auto found = pending_.find(customer);
    if (found == pending_.end()) {
      continue;
    }
    Pending& pending = found->second;
    if (pending.sentAt + AllowanceTerms::kMaxWait <= aNow) {
      const Pending ended = std::move(pending);
      pending_.erase(found);
      OnTimeout(ended, aNow);
      continue;
    }
    pending.repeatAt = aNow + AllowanceTerms::kRepeatAfter;
    pending.asked = links_.ownerOf(customer).value_or(pending.asked);
    Send(pending.asked, pending.request);
  }
}

void AllowanceRequester::OnTimeout(const Pending& aPending, TimePoint aNow)
{
  ++counters_.timeouts;
  const CustomerId& customer = aPending.request.customer;
  timedOut_[customer] = aPending.request.sequence;
  if (silent_.OnTimeout(aPending.asked.host, aNow)) {
    Log(LogLevel::kWarning,
        "allowance",
        { { "owner", aPending.asked.host.value() },
          { "customer", customer.value() },
          { "state", "unreachable" } });
  }
  AnswerNoOwner(customer);
}

void AllowanceRequester::AnswerNoOwner(const CustomerId& aCustomer)
{
  AllowanceAnswer answer;
  answer.customer = aCustomer;
  answer.rest = AllowanceVerdict::kNoOwner;
  Answer(answer, RateLimit());
}

void AllowanceRequester::Answer(AllowanceAnswer aAnswer,
                                const RateLimit& aLimit)
{
  if (aAnswer.rest == AllowanceVerdict::kNoOwner) {
    aAnswer.retryAfter = AllowanceTerms::kNoOwnerRetryAfter;
  }
  if (aLimit.IsSet()) {
    aAnswer.spacing = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / std::max(aLimit.perSecond, 1e-3)));
  }
  aAnswer.hosts = links_.hosts();
  links_.answer(aAnswer);
}

} // namespace lacewing
