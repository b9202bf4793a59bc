#include "gateway/Exchange.h"

#include "admission/RequiredQuality.h"
#include "admission/RetryAfter.h"
#include "admission/WaitLimit.h"
#include "balance/HedgeRule.h"
#include "balance/RetryRule.h"
#include "gateway/CallerIdentity.h"
#include "gateway/LocalResponseCount.h"
#include "gateway/RecordAttempt.h"
#include "gateway/RecordVersion.h"
#include "gateway/RequestDeadline.h"
#include "gateway/ResponseCheck.h"
#include "http/HopFields.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

// Limit of the attempts of one request, each at another target. Only attempts
// that sent no byte may exceed the route's maxAttempts.
constexpr unsigned kMaxTargetsTried = 6;
// The unit in which a target is told the remaining time; a target may take a
// time of zero for no limit.
constexpr Duration kLeastTime = std::chrono::milliseconds(1);
// How long a request waits for the first configuration; a starting host
// receives it within 100 ms unless the store is unreachable.
constexpr Duration kFirstConfigTimeout = std::chrono::milliseconds(150);
// When a caller that is refused for lack of a configuration should come back.
constexpr Duration kConfigRetryAfter = std::chrono::milliseconds(150);

} // namespace

Exchange::Exchange(TrafficState& aState, HttpMessage aRequest, Handler aHandler)
  : state_(aState)
  , head_(std::move(aRequest.head))
  , body_(aRequest.body.empty()
            ? nullptr
            : std::make_shared<const std::string>(std::move(aRequest.body)))
  , charge_(std::move(aRequest.charge))
  , handler_(std::move(aHandler))
  , startedAt_(aState.Now())
  , finder_(aState)
  , allowance_(aState)
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
  state_.RecordRequest(startedAt_);
  state_.Open().Add(shared_from_this(),
                    { [this] { ReadArrived(); },
                      [this](DrainResult& aResult) { EndDrain(aResult); } });
  Begin();
}

/** Waits for the first configuration if the host has just started. */
void Exchange::Begin()
{
  const auto fleet = state_.Fleet();
  routes_ = fleet->routes;
  if (!routes_ && !state_.Draining() &&
      state_.Now() < startedAt_ + kFirstConfigTimeout) {
    ScheduleRecheck(&Exchange::Begin);
    return;
  }
  if (!routes_) {
    FinishLocally(LocalResponseKind::kRefused);
    return;
  }
  route_ = routes_->Find(FieldOf("Host"), head_.target);
  if (route_ == nullptr) {
    FinishLocally(LocalResponseKind::kNoRoute);
    return;
  }
  if (!Identify()) {
    return;
  }
  deadline_ =
    DeadlineOf(FieldOf(state_.Names().deadline), startedAt_, route_->timeout);
  // The process may stop before this request ends, so another host must run it.
  if (state_.EndsBefore(deadline_)) {
    FinishLocally(LocalResponseKind::kRefused);
    return;
  }
  ArmDeadline();
  allowance_.SetCustomer(customer_);
  TakeAllowance(&Exchange::StartFirstAttempt);
}

void Exchange::TakeAllowance(void (Exchange::*aStep)())
{
  allowance_.Take([self = weak_from_this(), aStep](AllowanceVerdict aVerdict) {
    if (const auto exchange = self.lock()) {
      exchange->OnAllowance(aVerdict, aStep);
    }
  });
}

void Exchange::OnAllowance(AllowanceVerdict aVerdict, void (Exchange::*aStep)())
{
  if (aVerdict == AllowanceVerdict::kGranted) {
    (this->*aStep)();
  } else if (attemptCount_ == 0) {
    FinishLocally(aVerdict == AllowanceVerdict::kOverLimit
                    ? LocalResponseKind::kOverLimit
                    : LocalResponseKind::kRefused);
  } else if (attempts_.empty()) {
    FinishFailed();
  }
}

void Exchange::StartFirstAttempt()
{
  service_ = state_.SplitOf(route_->name).Next(route_->shares);
  state_.RetryWindowOf(service_).CountRequest(startedAt_);
  version_.Draw(state_, service_);
  firstZone_ = state_.DrawZone(service_, ExpectedBytes());
  FindTargetOrWait();
}

bool Exchange::Identify()
{
  const CallerIdentity caller = IdentifyCaller(head_, *route_, *routes_);
  customer_ = caller.customer;
  if (caller.refused) {
    FinishLocally(LocalResponseKind::kUnknownKey);
  }
  return !caller.refused;
}

void Exchange::ArmDeadline()
{
  deadlineTimer_.ArmAt(deadline_, [self = weak_from_this()] {
    if (const auto exchange = self.lock()) {
      exchange->OnDeadline();
    }
  });
}

void Exchange::OnDeadline()
{
  if (ReadArrived()) {
    // Handled behind the ends of these attempts, which are queued.
    ArmDeadline();
    return;
  }
  FinishLocally(sent_ > 0 ? LocalResponseKind::kTimedOut
                          : LocalResponseKind::kRefused);
}

bool Exchange::ReadArrived()
{
  bool ended = false;
  for (const Attempt& attempt : attempts_) {
    attempt.connection->ReadArrived();
    ended |= !attempt.connection->Busy();
  }
  return ended;
}

void Exchange::ArmHedge(Duration aAfter, bool aLast)
{
  stepTimer_.Arm(aAfter, [self = weak_from_this(), aLast] {
    if (const auto exchange = self.lock()) {
      exchange->OnHedge(aLast);
    }
  });
}

bool Exchange::LooksStuck(const Attempt& aAttempt) const
{
  const auto load = state_.Load();
  const LoadReading* reading = load->Find(aAttempt.target.id);
  return reading == nullptr || reading->state != ReadingState::kServing ||
         !reading->load || IsLikelyStuck(reading->load->slowdownPercent);
}

void Exchange::OnHedge(bool aLast)
{
  if (attempts_.size() != 1 || finder_.Searching() || allowance_.Waiting() ||
      sent_ >= route_->maxAttempts) {
    return;
  }
  const Duration serviceTime =
    state_.StatisticsOf(*route_).TypicalServiceTime();
  if (!aLast && !LooksStuck(attempts_.front())) {
    ArmHedge(UnconditionalHedgeAfter(serviceTime) - HedgeAfter(serviceTime),
             true);
    return;
  }
  // A second attempt that cannot end before the deadline, or that takes
  // capacity from first attempts, only adds load.
  if (state_.Now() + serviceTime > deadline_ ||
      state_.PressureOf(service_).IsHigh(state_.Now())) {
    return;
  }
  if (!allowance_.TakeNow()) {
    return;
  }
  const auto fleet = state_.Fleet();
  if (!state_.RetryWindowOf(service_).Take(state_.Now(), fleet->hosts)) {
    ++state_.Counters().retriesDenied;
    allowance_.Release();
    return;
  }
  if (FindTarget()) {
    ++state_.Counters().hedges;
  } else {
    allowance_.Release();
  }
}

ByteCount Exchange::ExpectedBytes() const
{
  return ByteCount(body_ ? body_->size() : 0) +
         state_.StatisticsOf(*route_).TypicalResponseSize();
}

bool Exchange::FindTarget()
{
  const RouteStatistics& statistics = state_.StatisticsOf(*route_);
  ChoiceContext context;
  context.now = state_.Now();
  context.usualServiceTime = statistics.TypicalServiceTime();
  context.minQuality = RequiredQuality(
    state_.PressureOf(service_).IsHigh(context.now), IsLeastUrgent());
  context.bytes = ExpectedBytes();
  context.firstZone = std::exchange(firstZone_, ZoneId());
  return (version_.TakesCanary(state_, service_) &&
          Search(context, TargetGroup::kCanary)) ||
         Search(context, TargetGroup::kUsual);
}

bool Exchange::Search(const ChoiceContext& aContext, TargetGroup aGroup)
{
  return finder_.Find(
    service_,
    aContext,
    triedTargets_,
    aGroup,
    [self = weak_from_this()](std::optional<FoundTarget> aFound) {
      if (const auto exchange = self.lock()) {
        exchange->OnFound(std::move(aFound));
      }
    });
}

void Exchange::OnFound(std::optional<FoundTarget> aFound)
{
  if (done_) {
    return;
  }
  if (version_.SearchesAgain(state_, aFound) && FindTarget()) {
    return;
  }
  if (aFound && deadline_ - state_.Now() < kLeastTime) {
    state_.Pool().Put(aFound->spec, std::move(aFound->connection));
    OnDeadline();
  } else if (aFound && !allowance_.TakeNow()) {
    // The token ended while the request waited for a target.
    state_.Pool().Put(aFound->spec, std::move(aFound->connection));
    TakeAllowance(attemptCount_ == 0 ? &Exchange::FindTargetOrWait
                                     : &Exchange::FindTargetOrFail);
  } else if (aFound) {
    Send(std::move(*aFound));
  } else if (attempts_.empty()) {
    if (attemptCount_ == 0) {
      WaitForCapacity();
    } else {
      FinishFailed();
    }
  } else {
    allowance_.Release();
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
  if (routes_->NeedsKeys()) {
    RemoveIdentity(head.fields, names.customer);
  }
  if (customer_ != nullptr) {
    head.fields.Add(names.customer, customer_->id.value());
  }
  return head;
}

void Exchange::Send(FoundTarget aTarget)
{
  Attempt attempt;
  attempt.id = ++nextAttempt_;
  attempt.target = std::move(aTarget.spec);
  attempt.choice = aTarget.choice;
  attempt.sentAt = state_.Now();
  attempt.allowance = allowance_.Spend();
  attempt.connection = std::move(aTarget.connection);
  RecordSent(state_, attempt);
  triedTargets_.insert(attempt.target.id);
  ++attemptCount_;
  ++sent_;
  ++state_.Counters().attempts;
  state_.ViewOf(attempt.target.id).OnSent(attempt.sentAt);
  OutgoingRequest request;
  request.head = RequestHead(attempt.target);
  request.body = body_;
  request.match = [&names = state_.Names(), id = id_](const HttpHead& aHead) {
    return MatchResponse(aHead, names, id);
  };
  attempt.connection->Send(
    std::move(request),
    [self = weak_from_this(), id = attempt.id](ExchangeResult aResult) {
      if (const auto exchange = self.lock()) {
        exchange->OnEnded(id, std::move(aResult));
      }
    });
  attempts_.push_back(std::move(attempt));
  if (sent_ == 1 && !RunsAtMostOnce(route_->requestClass)) {
    ArmHedge(HedgeAfter(state_.StatisticsOf(*route_).TypicalServiceTime()),
             false);
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
  const AttemptResult end = ClassifyAttempt(aResult, state_.Names());
  RecordAttempt(state_, *route_, attempt, end, aResult);
  state_.Pool().Put(attempt.target, std::move(attempt.connection));
  LogAttempt(state_, id_, attempt, end, aResult);
  if (end == AttemptResult::kNotSent || end == AttemptResult::kNotRun) {
    allowance_.GiveBack(attempt.allowance);
  }
  if (end == AttemptResult::kNotSent) {
    --sent_;
  }
  mayHaveRun_ |=
    end == AttemptResult::kUnknown || end == AttemptResult::kTargetFailure;
  if (done_) {
    return;
  }
  if (end == AttemptResult::kSuccess) {
    Finish(std::move(aResult.answer), "success");
    return;
  }
  lastEnd_ = end;
  lastResponse_ = std::move(aResult.answer);
  if (!TryRetry(end) && attempts_.empty() && !finder_.Searching() &&
      !allowance_.Waiting()) {
    FinishFailed();
  }
}

bool Exchange::TryRetry(AttemptResult aEnd)
{
  if (callerClosed_ || finder_.Searching() || allowance_.Waiting() ||
      !MayRetry(route_->requestClass, aEnd) || sent_ >= route_->maxAttempts ||
      attemptCount_ >= kMaxTargetsTried || state_.Now() >= deadline_) {
    return false;
  }
  const auto fleet = state_.Fleet();
  if (aEnd != AttemptResult::kNotSent &&
      !state_.RetryWindowOf(service_).Take(state_.Now(), fleet->hosts)) {
    ++state_.Counters().retriesDenied;
    return false;
  }
  TakeAllowance(&Exchange::FindTargetOrFail);
  return true;
}

void Exchange::FindTargetOrFail()
{
  if (FindTarget()) {
    ++state_.Counters().retries;
  } else if (attempts_.empty()) {
    FinishFailed();
  } else {
    allowance_.Release();
  }
}

void Exchange::WaitForCapacity()
{
  if (!MayWait(state_.Now(), startedAt_, route_->latencyObjective, deadline_)) {
    FinishLocally(LocalResponseKind::kRefused);
    return;
  }
  ScheduleRecheck(&Exchange::FindTargetOrWait);
}

void Exchange::FindTargetOrWait()
{
  if (!FindTarget()) {
    WaitForCapacity();
  }
}

void Exchange::ScheduleRecheck(void (Exchange::*aStep)())
{
  stepTimer_.Arm(kRecheckInterval, [self = weak_from_this(), aStep] {
    if (const auto exchange = self.lock()) {
      (exchange.get()->*aStep)();
    }
  });
}

void Exchange::FinishFailed()
{
  if (lastEnd_ == AttemptResult::kTargetFailure &&
      MayForward(lastResponse_.head)) {
    ++state_.Counters().targetFailures;
    Finish(std::move(lastResponse_), "target-failure");
    return;
  }
  FinishLocally(mayHaveRun_ ? LocalResponseKind::kOutcomeUnknown
                            : LocalResponseKind::kRefused);
}

void Exchange::FinishLocally(LocalResponseKind aKind)
{
  const LocalResponseCount& count = LocalResponseCountOf(aKind);
  ++(state_.Counters().*count.counter);
  std::optional<Duration> retryAfter;
  if (aKind == LocalResponseKind::kRefused) {
    retryAfter = route_ == nullptr ? kConfigRetryAfter
                                   : RetryAfter(route_->latencyObjective);
  }
  if (!MayHaveRun()) {
    retryAfter = allowance_.RetryAfter(retryAfter);
  }
  Finish(MakeLocalResponse(aKind, state_.Names().requestId, id_, retryAfter),
         count.outcome);
}

Priority Exchange::EffectivePriority() const
{
  return customer_ != nullptr ? customer_->priority : route_->priority;
}

bool Exchange::IsLeastUrgent() const
{
  return EffectivePriority() == routes_->LeastUrgent();
}

void Exchange::Finish(HttpMessage aResponse, const char* aOutcome)
{
  if (done_) {
    return;
  }
  if (aResponse.head.status / 100 == 2) {
    ++state_.Counters().succeeded;
  }
  state_.Counters().latency.Add(state_.Now() - startedAt_);
  LogEnd(Trace(), aResponse.head.status, aOutcome);
  const auto self = shared_from_this();
  End();
  if (const Handler handler = std::exchange(handler_, nullptr)) {
    handler(std::move(aResponse));
  }
}

bool Exchange::RunsOn() const
{
  return !attempts_.empty() && RunsAtMostOnce(route_->requestClass);
}

void Exchange::OnCallerClosed()
{
  ++state_.Counters().callerDisconnects;
  callerClosed_ = true;
  if (done_ || RunsOn()) {
    return;
  }
  Finish(MakeLocalResponse(MayHaveRun() ? LocalResponseKind::kOutcomeUnknown
                                        : LocalResponseKind::kRefused,
                           state_.Names().requestId,
                           id_),
         "caller-gone");
}

void Exchange::Abandon()
{
  if (!std::exchange(callerClosed_, true)) {
    ++state_.Counters().callerDisconnects;
  }
  handler_ = nullptr;
  if (done_ || RunsOn()) {
    return;
  }
  LogEnd(Trace(), 0, "caller-gone");
  const auto self = shared_from_this();
  End();
}

void Exchange::EndDrain(DrainResult& aResult)
{
  if (done_) {
    return;
  }
  ++aResult.open;
  if (!handler_) {
    ++aResult.abandoned;
  } else if (MayHaveRun()) {
    ++aResult.unknown;
  } else {
    ++aResult.refused;
  }
  FinishLocally(MayHaveRun() ? LocalResponseKind::kOutcomeUnknown
                             : LocalResponseKind::kRefused);
}

void Exchange::End()
{
  done_ = true;
  deadlineTimer_.Cancel();
  stepTimer_.Cancel();
  allowance_.Release();
  CancelAttempts();
  state_.Open().Remove(this);
}

RequestTrace Exchange::Trace() const
{
  RequestTrace trace;
  trace.request = id_;
  trace.route = route_ ? route_->name : RouteName();
  trace.config = routes_ ? routes_->Version() : ConfigVersion();
  trace.service = service_;
  trace.customer = customer_ != nullptr ? customer_->id : CustomerId();
  trace.attemptCount = attemptCount_;
  trace.duration = state_.Now() - startedAt_;
  trace.callerClosed = callerClosed_;
  return trace;
}

void Exchange::CancelAttempts()
{
  for (Attempt& attempt : attempts_) {
    state_.ViewOf(attempt.target.id).OnEnded(attempt.sentAt);
    RecordVersion(
      state_, *route_, attempt, AttemptEnd::kCancelled, std::nullopt);
    LogCancelled(state_, id_, attempt);
  }
  attempts_.clear();
}

} // namespace lacewing
