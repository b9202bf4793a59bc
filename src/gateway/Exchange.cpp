#include "gateway/Exchange.h"

#include "balance/HedgeRule.h"
#include "balance/RepeatRule.h"
#include "gateway/LocalResponseCount.h"
#include "gateway/RecordAttempt.h"
#include "gateway/RequestDeadline.h"
#include "gateway/ResponseCheck.h"
#include "http/HopFields.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

// Targets that are asked before a request is given up; only those that got no
// byte may go beyond the route's attempts.
constexpr unsigned kMaxTries = 6;
// Part of the latency objective for which a request without a target waits
// for one; beyond an eighth it counts as held up.
constexpr int kWaitDivisor = 8;
// How long a request waits for the first configuration; a starting host has it
// within a tenth of a second unless the store is out of reach.
constexpr Duration kStartPatience = std::chrono::milliseconds(150);
// How often a waiting request looks again; load shifts within milliseconds.
constexpr Duration kLookAgain = std::chrono::milliseconds(25);
// Callers come back after this part of the route's objective, in which several
// other requests end; without a route, after a fixed time.
constexpr int kRetryDivisor = 3;
constexpr Duration kRetryAfter = std::chrono::milliseconds(150);
} // namespace

Exchange::Exchange(TrafficState& aState, HttpMessage aRequest, Handler aHandler)
  : state_(aState)
  , head_(std::move(aRequest.head))
  , body_(aRequest.body.empty()
            ? nullptr
            : std::make_shared<const std::string>(std::move(aRequest.body)))
  , handler_(std::move(aHandler))
  , startedAt_(aState.Now())
  , scout_(aState)
  , deadlineTimer_(aState.Context())
  , stepTimer_(aState.Context())
{
  id_ = FieldOf(state_.Names().requestId);
}

std::string Exchange::FieldOf(const std::string& aName) const
{
  const std::string* field = head_.fields.Find(aName);
  return field == nullptr ? std::string() : *field;
}

void Exchange::Start()
{
  ++state_.Counters().requests;
  state_.NoteRequest(startedAt_);
  Begin();
}

/** Waits for the first configuration, which a starting host has soon. */
void Exchange::Begin()
{
  const auto fleet = state_.Fleet();
  routes_ = fleet->routes;
  if (!routes_ && !state_.Draining() &&
      state_.Now() < startedAt_ + kStartPatience) {
    LookAgain(&Exchange::Begin);
    return;
  }
  if (!routes_) {
    FinishOwn(OwnAnswerKind::kRefused);
    return;
  }
  route_ = routes_->Find(FieldOf("Host"), head_.target);
  if (route_ == nullptr) {
    FinishOwn(OwnAnswerKind::kNoRoute);
    return;
  }
  deadline_ =
    DeadlineOf(FieldOf(state_.Names().deadline), startedAt_, route_->timeout);
  // A request that the process's end could cut off has to go elsewhere.
  if (state_.EndsBefore(deadline_)) {
    FinishOwn(OwnAnswerKind::kRefused);
    return;
  }
  service_ = state_.SplitOf(route_->name).Next(route_->shares);
  state_.RepeatsOf(service_).CountRequest(startedAt_);
  ArmDeadline();
  SeekOrWait();
}

void Exchange::ArmDeadline()
{
  deadlineTimer_.expires_at(deadline_);
  deadlineTimer_.async_wait(
    [self = weak_from_this()](const asio::error_code& aError) {
      const auto exchange = self.lock();
      if (aError || !exchange || exchange->done_) {
        return;
      }
      exchange->FinishOwn(exchange->sent_ > 0 ? OwnAnswerKind::kTimedOut
                                              : OwnAnswerKind::kRefused);
    });
}

void Exchange::ArmHedge(Duration aAfter, bool aLast)
{
  stepTimer_.expires_after(aAfter);
  stepTimer_.async_wait(
    [self = weak_from_this(), aLast](const asio::error_code& aError) {
      const auto exchange = self.lock();
      if (!aError && exchange && !exchange->done_) {
        exchange->OnHedge(aLast);
      }
    });
}

bool Exchange::LooksStuck(const Attempt& aAttempt) const
{
  const auto load = state_.Load();
  const LoadReading* reading = load->Find(aAttempt.target.id);
  return reading == nullptr || reading->state != ReadingState::kServing ||
         LooksSlowed(reading->load.slowdownPercent);
}

void Exchange::OnHedge(bool aLast)
{
  if (attempts_.size() != 1 || scout_.Searching() ||
      sent_ >= route_->maxAttempts) {
    return;
  }
  const Duration work = state_.LearningOf(*route_).UsualWork();
  if (!aLast && !LooksStuck(attempts_.front())) {
    ArmHedge(LastHedgeAfter(work) - HedgeAfter(work), true);
    return;
  }
  // A second attempt that cannot end in time, or that takes the room of first
  // attempts, only adds load.
  if (state_.Now() + work > deadline_ ||
      state_.PressureOf(service_).High(state_.Now())) {
    return;
  }
  const auto fleet = state_.Fleet();
  if (!state_.RepeatsOf(service_).Take(state_.Now(), fleet->hosts)) {
    ++state_.Counters().repeatsDenied;
    return;
  }
  if (Seek()) {
    ++state_.Counters().hedges;
  }
}

bool Exchange::Seek()
{
  const RouteLearning& learning = state_.LearningOf(*route_);
  ChoiceContext context;
  context.now = state_.Now();
  context.usualWork = learning.UsualWork();
  context.demand = DemandNow();
  context.bytes = ByteCount(body_ ? body_->size() : 0) + learning.AnswerBytes();
  return scout_.Find(
    service_, context, tried_, [this](std::optional<FoundTarget> aFound) {
      OnFound(std::move(aFound));
    });
}

/**
 * Under pressure requests on last slots and slowed targets take the room of
 * several others, so that a short overload would last; routes above the least
 * urgent ones may still use last slots.
 */
Demand Exchange::DemandNow() const
{
  if (!state_.PressureOf(service_).High(state_.Now())) {
    return Demand::kAny;
  }
  return route_->priority == routes_->LeastUrgent() ? Demand::kGood
                                                    : Demand::kQuiet;
}

void Exchange::OnFound(std::optional<FoundTarget> aFound)
{
  if (done_) {
    return;
  }
  if (aFound) {
    Send(std::move(*aFound));
  } else if (attempts_.empty()) {
    if (tries_ == 0) {
      WaitForRoom();
    } else {
      Conclude();
    }
  }
}

HttpHead Exchange::RequestHead(const TargetSpec& aTarget) const
{
  const HeaderNames& names = state_.Names();
  HttpHead head;
  head.method = head_.method;
  head.target = head_.target;
  head.fields = EndToEndFields(head_.fields);
  head.fields.Set(names.deadline, MillisecondsText(deadline_ - state_.Now()));
  head.fields.Set(names.expectedTarget, aTarget.id.value());
  return head;
}

void Exchange::Send(FoundTarget aTarget)
{
  Attempt attempt;
  attempt.id = ++nextAttempt_;
  attempt.target = std::move(aTarget.spec);
  attempt.choice = aTarget.choice;
  attempt.sentAt = state_.Now();
  attempt.connection = std::move(aTarget.connection);
  tried_.insert(attempt.target.id);
  ++tries_;
  ++sent_;
  ++state_.Counters().attempts;
  state_.ViewOf(attempt.target.id).OnSent(attempt.sentAt);
  OutgoingRequest request;
  request.head = RequestHead(attempt.target);
  request.body = body_;
  request.isOurs = [&names = state_.Names(), id = id_](const HttpHead& aHead) {
    return BelongsTo(aHead, names, id);
  };
  attempt.connection->Send(
    std::move(request),
    [self = shared_from_this(), id = attempt.id](ExchangeResult aResult) {
      self->OnEnded(id, std::move(aResult));
    });
  attempts_.push_back(std::move(attempt));
  if (sent_ == 1 && !RunsAtMostOnce(route_->requestClass)) {
    ArmHedge(HedgeAfter(state_.LearningOf(*route_).UsualWork()), false);
  }
}

void Exchange::OnEnded(AttemptId aAttempt, ExchangeResult aResult)
{
  const auto found = std::find_if(
    attempts_.begin(), attempts_.end(), [aAttempt](const Attempt& aEach) {
      return aEach.id == aAttempt;
    });
  if (found == attempts_.end()) {
    return;
  }
  Attempt attempt = std::move(*found);
  attempts_.erase(found);
  const AttemptEnd end = Classify(aResult, state_.Names());
  LearnFrom(state_, *route_, attempt, end, aResult);
  state_.Pool().Put(attempt.target, std::move(attempt.connection));
  LogAttempt(state_, id_, attempt, end, aResult);
  if (end == AttemptEnd::kNotSent) {
    --sent_;
  }
  mayHaveRun_ |=
    end == AttemptEnd::kUnknown || end == AttemptEnd::kTargetFailure;
  if (done_) {
    return;
  }
  if (end == AttemptEnd::kSuccess) {
    Finish(std::move(aResult.answer), "success");
    return;
  }
  lastEnd_ = end;
  lastAnswer_ = std::move(aResult.answer);
  if (!TryRepeat(end) && attempts_.empty() && !scout_.Searching()) {
    Conclude();
  }
}

bool Exchange::TryRepeat(AttemptEnd aEnd)
{
  if (abandoned_ || scout_.Searching() ||
      !MayRepeat(route_->requestClass, aEnd) || sent_ >= route_->maxAttempts ||
      tries_ >= kMaxTries || state_.Now() >= deadline_) {
    return false;
  }
  const auto fleet = state_.Fleet();
  if (aEnd != AttemptEnd::kNotSent &&
      !state_.RepeatsOf(service_).Take(state_.Now(), fleet->hosts)) {
    ++state_.Counters().repeatsDenied;
    return false;
  }
  if (!Seek()) {
    return false;
  }
  ++state_.Counters().repeats;
  return true;
}

void Exchange::WaitForRoom()
{
  const TimePoint until = startedAt_ + route_->latencyObjective / kWaitDivisor;
  if (state_.Now() + kLookAgain > std::min(until, deadline_)) {
    FinishOwn(OwnAnswerKind::kRefused);
    return;
  }
  LookAgain(&Exchange::SeekOrWait);
}

void Exchange::SeekOrWait()
{
  if (!Seek()) {
    WaitForRoom();
  }
}

void Exchange::LookAgain(void (Exchange::*aStep)())
{
  stepTimer_.expires_after(kLookAgain);
  stepTimer_.async_wait(
    [self = weak_from_this(), aStep](const asio::error_code& aError) {
      const auto exchange = self.lock();
      if (!aError && exchange && !exchange->done_) {
        (exchange.get()->*aStep)();
      }
    });
}

void Exchange::Conclude()
{
  if (lastEnd_ == AttemptEnd::kTargetFailure && MayPassOn(lastAnswer_.head)) {
    ++state_.Counters().targetFailures;
    Finish(std::move(lastAnswer_), "target-failure");
    return;
  }
  FinishOwn(mayHaveRun_ ? OwnAnswerKind::kOutcomeUnknown
                        : OwnAnswerKind::kRefused);
}

void Exchange::FinishOwn(OwnAnswerKind aKind)
{
  const OwnAnswerCount& count = CountOf(aKind);
  ++(state_.Counters().*count.counter);
  std::optional<Duration> retryAfter;
  if (aKind == OwnAnswerKind::kRefused) {
    retryAfter = route_ == nullptr ? kRetryAfter
                                   : route_->latencyObjective / kRetryDivisor;
  }
  Finish(MakeOwnAnswer(aKind, state_.Names().requestId, id_, retryAfter),
         count.outcome);
}

void Exchange::Finish(HttpMessage aAnswer, const char* aOutcome)
{
  if (done_) {
    return;
  }
  done_ = true;
  if (aAnswer.head.status / 100 == 2) {
    ++state_.Counters().succeeded;
  }
  state_.Counters().latency.Add(state_.Now() - startedAt_);
  LogEnd(Trace(), aAnswer.head.status, aOutcome);
  deadlineTimer_.cancel();
  stepTimer_.cancel();
  CancelAttempts();
  if (const Handler handler = std::exchange(handler_, nullptr)) {
    handler(std::move(aAnswer));
  }
}

void Exchange::Abandon()
{
  ++state_.Counters().callersGone;
  abandoned_ = true;
  handler_ = nullptr;
  if (done_) {
    return;
  }
  if (route_ != nullptr && RunsAtMostOnce(route_->requestClass)) {
    return;
  }
  done_ = true;
  LogEnd(Trace(), 0, "caller-gone");
  deadlineTimer_.cancel();
  stepTimer_.cancel();
  CancelAttempts();
}

RequestTrace Exchange::Trace() const
{
  RequestTrace trace;
  trace.request = id_;
  trace.route = route_ ? route_->name : RouteName();
  trace.config = routes_ ? routes_->Version() : ConfigVersion();
  trace.service = service_;
  trace.tries = tries_;
  trace.duration = state_.Now() - startedAt_;
  return trace;
}

void Exchange::CancelAttempts()
{
  for (Attempt& attempt : attempts_) {
    state_.ViewOf(attempt.target.id).OnEnded();
    LogCancelled(state_, id_, attempt);
  }
  // Destroying a connection may free this exchange's last handler; the
  // attempts are moved out first so that none is seen half destroyed.
  const std::vector<Attempt> cancelled = std::exchange(attempts_, {});
}

} // namespace lacewing
