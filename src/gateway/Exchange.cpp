#include "gateway/Exchange.h"

#include "balance/RepeatRule.h"
#include "core/Log.h"
#include "gateway/AnswerCheck.h"
#include "http/HopFields.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace lacewing {

namespace {

// A request in flight for this many times the usual work is sent to a second
// target when its target was seen to be slowed, or for the longer one anyhow.
constexpr double kHedgeSlowed = 1.15;
constexpr double kHedgeAnyhow = 1.8;
// Readings from this slowdown on make a target look stuck.
constexpr unsigned kStuckPercent = 150;
// Targets that are asked before a request is given up; only those that got no
// byte may go beyond the route's attempts.
constexpr unsigned kMaxTries = 6;
// Part of the latency objective for which a request without a target waits
// for one; beyond an eighth it counts as held up.
constexpr int kWaitDivisor = 8;
// How often a waiting request looks again; load shifts within milliseconds.
constexpr Duration kLookAgain = std::chrono::milliseconds(25);
// Callers come back after this part of the route's objective, in which several
// other requests end; without a route, after a fixed time.
constexpr int kRetryDivisor = 3;
constexpr Duration kRetryAfter = std::chrono::milliseconds(150);
// The sender's patience when it states none beyond the route's timeout.
constexpr Duration kLongest = std::chrono::hours(1);

std::string Milliseconds(Duration aDuration)
{
  return std::to_string(
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count());
}

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

void Exchange::ReadDeadline()
{
  const std::string text = FieldOf(state_.Names().deadline);
  Duration patience = kLongest;
  std::int64_t milliseconds = 0;
  const auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  if (!text.empty() && error == std::errc() && milliseconds >= 0) {
    patience =
      std::min<Duration>(std::chrono::milliseconds(milliseconds), kLongest);
  }
  deadline_ = startedAt_ + std::min(patience, route_->timeout);
}

void Exchange::Start()
{
  ++state_.Counters().requests;
  const auto fleet = state_.Fleet();
  routes_ = fleet->routes;
  if (!routes_ || state_.Refusing()) {
    FinishOwn(OwnAnswerKind::kRefused);
    return;
  }
  route_ = routes_->Find(FieldOf("Host"), head_.target);
  if (route_ == nullptr) {
    FinishOwn(OwnAnswerKind::kNoRoute);
    return;
  }
  ReadDeadline();
  service_ = state_.SplitOf(route_->name).Next(route_->shares);
  state_.RepeatsOf(service_).CountRequest(startedAt_);
  ArmDeadline();
  if (!Seek()) {
    WaitForRoom();
  }
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
         reading->load.slowdownPercent >= kStuckPercent;
}

void Exchange::OnHedge(bool aLast)
{
  if (attempts_.size() != 1 || scout_.Searching() ||
      sent_ >= route_->maxAttempts) {
    return;
  }
  const Duration work = state_.LearningOf(*route_).UsualWork();
  if (!aLast && !LooksStuck(attempts_.front())) {
    ArmHedge(std::chrono::duration_cast<Duration>(
               work * (kHedgeAnyhow - kHedgeSlowed)),
             true);
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
  head.fields.Set(names.deadline, Milliseconds(deadline_ - state_.Now()));
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
    const Duration work = state_.LearningOf(*route_).UsualWork();
    ArmHedge(std::chrono::duration_cast<Duration>(work * kHedgeSlowed), false);
  }
}

void Exchange::Learn(const Attempt& aAttempt,
                     AttemptEnd aEnd,
                     const ExchangeResult& aResult)
{
  const TimePoint now = state_.Now();
  const HeaderNames& names = state_.Names();
  LocalView& view = state_.ViewOf(aAttempt.target.id);
  view.OnEnded();
  const std::string* load = aResult.answer.head.fields.Find(names.load);
  if (load != nullptr && names.parseLoad != nullptr) {
    if (const auto parsed = names.parseLoad(*load)) {
      view.OnLoad(now, *parsed);
    }
  }
  switch (aEnd) {
    case AttemptEnd::kSuccess:
      view.OnSuccess(now);
      state_.LearningOf(*route_).OnAnswer(
        now - aAttempt.sentAt,
        aAttempt.choice.slowdownPercent,
        ByteCount(aResult.answer.body.size()));
      break;
    case AttemptEnd::kNotRun:
    case AttemptEnd::kTargetFailure:
      view.OnFailure(now, 1);
      break;
    case AttemptEnd::kNotSent:
    case AttemptEnd::kUnknown:
      view.OnFailure(now, 1);
      view.OnTrouble(now);
      break;
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
  Learn(attempt, end, aResult);
  state_.Pool().Put(attempt.target, std::move(attempt.connection));
  LogAttempt(attempt, end, aResult);
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
  stepTimer_.expires_after(kLookAgain);
  stepTimer_.async_wait(
    [self = weak_from_this()](const asio::error_code& aError) {
      const auto exchange = self.lock();
      if (!aError && exchange && !exchange->done_ && !exchange->Seek()) {
        exchange->WaitForRoom();
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
  GatewayCounters& counters = state_.Counters();
  std::optional<Duration> retryAfter;
  const char* outcome = "unknown";
  switch (aKind) {
    case OwnAnswerKind::kRefused:
      ++counters.refused;
      retryAfter = route_ == nullptr ? kRetryAfter
                                     : route_->latencyObjective / kRetryDivisor;
      outcome = "refused";
      break;
    case OwnAnswerKind::kTimedOut:
      ++counters.timedOut;
      outcome = "timed-out";
      break;
    case OwnAnswerKind::kNoRoute:
      ++counters.noRoute;
      outcome = "no-route";
      break;
    default:
      ++counters.lost;
      break;
  }
  Finish(MakeOwnAnswer(aKind, state_.Names().requestId, id_, retryAfter),
         outcome);
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
  LogEnd(aAnswer.head.status, aOutcome);
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
  LogEnd(0, "caller-gone");
  deadlineTimer_.cancel();
  stepTimer_.cancel();
  CancelAttempts();
}

void Exchange::CancelAttempts()
{
  for (Attempt& attempt : attempts_) {
    state_.ViewOf(attempt.target.id).OnEnded();
  }
  // Destroying a connection may free this exchange's last handler; the
  // attempts are moved out first so that none is seen half destroyed.
  const std::vector<Attempt> cancelled = std::exchange(attempts_, {});
}

void Exchange::LogAttempt(const Attempt& aAttempt,
                          AttemptEnd aEnd,
                          const ExchangeResult& aResult) const
{
  const std::string* load =
    aResult.answer.head.fields.Find(state_.Names().load);
  Log(LogLevel::kInfo,
      "attempt",
      { { "request", id_ },
        { "target", aAttempt.target.id.value() },
        { "end", ToString(aEnd) },
        { "status", std::to_string(aResult.answer.head.status) },
        { "detail", aResult.detail },
        { "ms", Milliseconds(state_.Now() - aAttempt.sentAt) },
        { "busy", std::to_string(aAttempt.choice.busy) },
        { "slowdown", std::to_string(aAttempt.choice.slowdownPercent) },
        { "reading_age_ms", Milliseconds(aAttempt.choice.readingAge) },
        { "expected_ms", Milliseconds(aAttempt.choice.expected) },
        { "cold", aAttempt.choice.cold ? "1" : "0" },
        { "load", load == nullptr ? "" : *load } });
}

void Exchange::LogEnd(unsigned aStatus, const char* aOutcome) const
{
  Log(LogLevel::kInfo,
      "request",
      { { "request", id_ },
        { "route", route_ ? route_->name.value() : "" },
        { "config", routes_ ? std::to_string(routes_->Version().value()) : "" },
        { "service", service_.value() },
        { "status", std::to_string(aStatus) },
        { "outcome", aOutcome },
        { "tries", std::to_string(tries_) },
        { "ms", Milliseconds(state_.Now() - startedAt_) } });
}

} // namespace lacewing
