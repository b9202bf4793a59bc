#include "decision/RequestEngine.h"

#include "decision/OpenAttempt.h"
#include "decision/OpenRequest.h"
#include "decision/RequestTimers.h"
#include "decision/ServiceTable.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <random>
#include <unordered_map>

namespace lacewing {

namespace {

constexpr Duration kShortestRetryAfter = std::chrono::milliseconds(100);

} // namespace

struct RequestEngine::Impl
{
  Impl(const Clock& aClock, const EngineOptions& aOptions)
    : clock(aClock)
    , options(aOptions)
    , random(aOptions.seed)
    , services(aOptions)
  {
  }

  void Request(const RequestInfo& aRequest);
  bool HasRoom(ServiceState& aService);
  void Send(OpenRequest& aRequest, const ServiceState::Target& aTarget);
  void Wait(OpenRequest& aRequest);
  void StopWaiting(OpenRequest& aRequest);
  void SetDue(OpenRequest& aRequest, TimePoint aDue);
  void ServeWaiting(ServiceState& aService);
  void ServeAll();
  void Retry(OpenRequest& aRequest,
             AttemptFailure aFailure,
             const ServiceState::Target& aTarget);
  void Refuse(RequestId aRequest, FinishReason aReason);
  void Finish(OpenRequest& aRequest,
              Disposition aDisposition,
              FinishReason aReason,
              AttemptId aAttempt = AttemptId());
  void FinishWithoutAnswer(OpenRequest& aRequest,
                           FinishReason aWhenNotRun,
                           FinishReason aWhenUnknown);
  void CancelCurrent(OpenRequest& aRequest);
  void Erase(OpenRequest& aRequest);
  void Expire(OpenRequest& aRequest);
  /** Ends the attempt; null when it is unknown or cancelled. */
  OpenRequest* TakeAttempt(AttemptId aAttempt, OpenAttempt& aTaken);

  /** Keeps the order of actions independent of addresses. */
  struct ByName
  {
    bool operator()(const ServiceState* aLeft, const ServiceState* aRight) const
    {
      return aLeft->Id() < aRight->Id();
    }
  };

  const Clock& clock;
  EngineOptions options;
  std::mt19937_64 random;
  ServiceTable services;
  std::unordered_map<RequestId, OpenRequest> requests;
  std::unordered_map<AttemptId, OpenAttempt> attempts;
  RequestTimers timers;
  /** Services with waiting requests, and when to look at them again. */
  std::map<ServiceState*, TimePoint, ByName> rechecks;
  std::size_t waiting = 0;
  std::uint64_t lastAttempt = 0;
  std::uint64_t lastArrival = 0;
  bool stopping = false;
  Actions actions;
};

void RequestEngine::Impl::Request(const RequestInfo& aRequest)
{
  if (stopping) {
    Refuse(aRequest.id, FinishReason::kStopping);
    return;
  }
  ServiceState* const service = services.Find(aRequest.service);
  if (service == nullptr) {
    Refuse(aRequest.id, FinishReason::kUnknownService);
    return;
  }
  Duration time = service->Route()->deadline;
  if (aRequest.callerDeadline) {
    time = std::min(time, *aRequest.callerDeadline);
  }
  if (time <= Duration(0) || service->ExpectedWait() > time) {
    Refuse(aRequest.id, FinishReason::kDeadlineBeforeSend);
    return;
  }
  if (service->Targets().empty()) {
    Refuse(aRequest.id, FinishReason::kNoTarget);
    return;
  }
  service->OnRequest();
  const TimePoint now = clock.Now();
  OpenRequest request;
  request.id = aRequest.id;
  request.service = service;
  request.arrival = ++lastArrival;
  request.arrived = now;
  request.deadline = now + time;
  request.due = request.deadline;
  request.idempotent =
    service->Route()->idempotentMethods.count(aRequest.method) != 0;
  const auto [entry, added] = requests.emplace(request.id, request);
  assert(added && "request ids are unique");
  if (!added) {
    return;
  }
  ++service->open;
  timers.Add(request.due, request.id);
  if (service->Waiting().empty()) {
    if (const auto target = service->Pick(entry->second, now, random)) {
      Send(entry->second, target);
      return;
    }
  }
  if (!HasRoom(*service)) {
    Finish(entry->second, Disposition::kNotRun, FinishReason::kOverload);
    return;
  }
  Wait(entry->second);
}

bool RequestEngine::Impl::HasRoom(ServiceState& aService)
{
  const std::size_t own = aService.Waiting().size();
  if (own >= options.maxWaiting) {
    return false;
  }
  if (waiting < options.maxWaitingTotal) {
    return true;
  }
  // The places are taken: the service with the longest queue gives one up to
  // a service with fewer, so that one burst does not harm the others.
  ServiceState* longest = &aService;
  for (const auto& entry : rechecks) {
    if (entry.first->Waiting().size() > longest->Waiting().size()) {
      longest = entry.first;
    }
  }
  if (longest->Waiting().size() <= own + 1) {
    return false;
  }
  OpenRequest& last = requests.at(longest->Waiting().Last());
  FinishWithoutAnswer(
    last, FinishReason::kOverload, FinishReason::kConnectionLost);
  return true;
}

void RequestEngine::Impl::Send(OpenRequest& aRequest,
                               const ServiceState::Target& aTarget)
{
  assert(!aRequest.current);
  assert(aRequest.idempotent || !aRequest.mayHaveRun);
  const TimePoint now = clock.Now();
  const AttemptId attempt(++lastAttempt);
  aRequest.current = attempt;
  ++aRequest.attempts;
  SetDue(aRequest, aRequest.deadline);
  aRequest.service->OnSent(*aTarget, now);
  attempts.emplace(attempt, OpenAttempt{ aRequest.id, aTarget, now });
  actions.push_back(SendAttempt{ aRequest.id,
                                 attempt,
                                 aTarget->Route().id,
                                 aTarget->Route().endpoint,
                                 aRequest.idempotent,
                                 aRequest.deadline });
}

void RequestEngine::Impl::Wait(OpenRequest& aRequest)
{
  assert(!aRequest.waiting && !aRequest.current);
  aRequest.waiting = true;
  ++waiting;
  aRequest.service->Waiting().Add(aRequest.arrival, aRequest.id);
  const TimePoint now = clock.Now();
  SetDue(aRequest, std::min(aRequest.deadline, now + options.maxWait));
  rechecks.emplace(aRequest.service, now + aRequest.service->RecheckAfter(now));
}

void RequestEngine::Impl::StopWaiting(OpenRequest& aRequest)
{
  if (aRequest.waiting) {
    aRequest.waiting = false;
    --waiting;
    aRequest.service->Waiting().Remove(aRequest.arrival);
    if (aRequest.service->Waiting().empty()) {
      rechecks.erase(aRequest.service);
    }
  }
}

void RequestEngine::Impl::SetDue(OpenRequest& aRequest, TimePoint aDue)
{
  if (aRequest.due != aDue) {
    timers.Remove(aRequest.due, aRequest.id);
    aRequest.due = aDue;
    timers.Add(aDue, aRequest.id);
  }
}

void RequestEngine::Impl::ServeWaiting(ServiceState& aService)
{
  const TimePoint now = clock.Now();
  while (!aService.Waiting().empty()) {
    OpenRequest& first = requests.at(aService.Waiting().First());
    if (aService.Targets().empty()) {
      FinishWithoutAnswer(
        first, FinishReason::kNoTarget, FinishReason::kConnectionLost);
      continue;
    }
    if (first.due <= now) {
      Expire(first);
      continue;
    }
    const auto target = aService.Pick(first, now, random);
    if (!target) {
      rechecks[&aService] = now + aService.RecheckAfter(now);
      return;
    }
    StopWaiting(first);
    Send(first, target);
  }
}

void RequestEngine::Impl::ServeAll()
{
  std::vector<ServiceState*> served;
  for (const auto& entry : rechecks) {
    served.push_back(entry.first);
  }
  for (ServiceState* service : served) {
    ServeWaiting(*service);
  }
}

void RequestEngine::Impl::Retry(OpenRequest& aRequest,
                                AttemptFailure aFailure,
                                const ServiceState::Target& aTarget)
{
  const bool provedNotRun = aFailure == AttemptFailure::kNotSent;
  aRequest.mayHaveRun = aRequest.mayHaveRun || !provedNotRun;
  aRequest.last = aTarget;
  const bool allowed = provedNotRun || aRequest.idempotent;
  if (!allowed || stopping || aRequest.attempts >= options.maxAttempts ||
      aRequest.service->Targets().empty() || aRequest.deadline <= clock.Now()) {
    FinishWithoutAnswer(
      aRequest, FinishReason::kNotAccepted, FinishReason::kConnectionLost);
    return;
  }
  Wait(aRequest);
}

void RequestEngine::Impl::Refuse(RequestId aRequest, FinishReason aReason)
{
  FinishRequest finish;
  finish.request = aRequest;
  finish.reason = aReason;
  actions.push_back(finish);
}

void RequestEngine::Impl::Finish(OpenRequest& aRequest,
                                 Disposition aDisposition,
                                 FinishReason aReason,
                                 AttemptId aAttempt)
{
  FinishRequest finish;
  finish.request = aRequest.id;
  finish.disposition = aDisposition;
  finish.reason = aReason;
  finish.attempt = aAttempt;
  if (aReason == FinishReason::kOverload) {
    finish.retryAfter =
      std::max(kShortestRetryAfter, aRequest.service->ExpectedWait());
  }
  actions.push_back(finish);
  Erase(aRequest);
}

void RequestEngine::Impl::FinishWithoutAnswer(OpenRequest& aRequest,
                                              FinishReason aWhenNotRun,
                                              FinishReason aWhenUnknown)
{
  if (aRequest.mayHaveRun) {
    Finish(aRequest, Disposition::kUnknown, aWhenUnknown);
  } else {
    Finish(aRequest, Disposition::kNotRun, aWhenNotRun);
  }
}

void RequestEngine::Impl::CancelCurrent(OpenRequest& aRequest)
{
  if (!aRequest.current) {
    return;
  }
  const auto found = attempts.find(*aRequest.current);
  assert(found != attempts.end());
  aRequest.service->OnCancelled(
    *found->second.target, clock.Now(), found->second.sent);
  attempts.erase(found);
  actions.push_back(CancelAttempt{ *aRequest.current });
  aRequest.current.reset();
  aRequest.mayHaveRun = true;
}

void RequestEngine::Impl::Erase(OpenRequest& aRequest)
{
  assert(!aRequest.current);
  StopWaiting(aRequest);
  timers.Remove(aRequest.due, aRequest.id);
  --aRequest.service->open;
  // The id is copied because the erased entry owns aRequest.
  const RequestId id = aRequest.id;
  requests.erase(id);
}

void RequestEngine::Impl::Expire(OpenRequest& aRequest)
{
  CancelCurrent(aRequest);
  const bool late = aRequest.deadline <= clock.Now();
  FinishWithoutAnswer(
    aRequest,
    late ? FinishReason::kDeadlineBeforeSend : FinishReason::kOverload,
    late ? FinishReason::kTimeout : FinishReason::kConnectionLost);
}

OpenRequest* RequestEngine::Impl::TakeAttempt(AttemptId aAttempt,
                                              OpenAttempt& aTaken)
{
  const auto found = attempts.find(aAttempt);
  if (found == attempts.end()) {
    return nullptr;
  }
  aTaken = std::move(found->second);
  attempts.erase(found);
  OpenRequest& request = requests.at(aTaken.request);
  assert(request.current == aAttempt);
  request.current.reset();
  return &request;
}

Outcome<std::unique_ptr<RequestEngine>> RequestEngine::Make(
  const Clock& aClock,
  const EngineOptions& aOptions)
{
  if (auto strategy = MakeRoutingStrategy(aOptions.strategy); !strategy) {
    return outcome::failure(strategy.error());
  }
  return std::unique_ptr<RequestEngine>(
    new RequestEngine(std::make_unique<Impl>(aClock, aOptions)));
}

RequestEngine::RequestEngine(std::unique_ptr<Impl> aImpl)
  : impl_(std::move(aImpl))
{
}

RequestEngine::~RequestEngine() = default;

Actions RequestEngine::OnSnapshot(
  std::shared_ptr<const RoutingSnapshot> aSnapshot)
{
  impl_->services.SetSnapshot(std::move(aSnapshot));
  impl_->ServeAll();
  impl_->services.RemoveUnused();
  return std::exchange(impl_->actions, {});
}

Actions RequestEngine::OnGrants(const std::vector<HeldGrant>& aGrants)
{
  for (ServiceState* service : impl_->services.SetGrants(aGrants)) {
    impl_->ServeWaiting(*service);
  }
  return std::exchange(impl_->actions, {});
}

Actions RequestEngine::OnRequest(const RequestInfo& aRequest)
{
  impl_->Request(aRequest);
  return std::exchange(impl_->actions, {});
}

Actions RequestEngine::OnAnswer(AttemptId aAttempt,
                                const AttemptAnswer& aAnswer)
{
  OpenAttempt attempt;
  if (OpenRequest* request = impl_->TakeAttempt(aAttempt, attempt)) {
    ServiceState& service = *request->service;
    service.OnAnswered(
      *attempt.target, impl_->clock.Now(), attempt.sent, aAnswer);
    if (aAnswer.notRun && service.Retries().Take()) {
      impl_->Retry(*request, AttemptFailure::kNotSent, attempt.target);
    } else if (aAnswer.notRun) {
      impl_->FinishWithoutAnswer(
        *request, FinishReason::kNotAccepted, FinishReason::kConnectionLost);
    } else {
      impl_->Finish(
        *request, Disposition::kRan, FinishReason::kAnswered, aAttempt);
    }
    impl_->ServeWaiting(service);
  }
  return std::exchange(impl_->actions, {});
}

Actions RequestEngine::OnAttemptFailed(AttemptId aAttempt,
                                       AttemptFailure aFailure)
{
  OpenAttempt attempt;
  if (OpenRequest* request = impl_->TakeAttempt(aAttempt, attempt)) {
    ServiceState& service = *request->service;
    service.OnFailed(
      *attempt.target, impl_->clock.Now(), attempt.sent, aFailure);
    switch (aFailure) {
      case AttemptFailure::kNotSent:
        // Puts no load on a target, so it takes nothing from the budget.
        impl_->Retry(*request, aFailure, attempt.target);
        break;
      case AttemptFailure::kLost:
        if (request->idempotent && service.Retries().Take()) {
          impl_->Retry(*request, aFailure, attempt.target);
        } else {
          impl_->Finish(
            *request, Disposition::kUnknown, FinishReason::kConnectionLost);
        }
        break;
      case AttemptFailure::kTimedOut:
        impl_->Finish(*request, Disposition::kUnknown, FinishReason::kTimeout);
        break;
      case AttemptFailure::kTooLarge:
        impl_->Finish(
          *request, Disposition::kUnknown, FinishReason::kAnswerTooLarge);
        break;
    }
    impl_->ServeWaiting(service);
  }
  return std::exchange(impl_->actions, {});
}

Actions RequestEngine::OnCallerGone(RequestId aRequest)
{
  const auto found = impl_->requests.find(aRequest);
  if (found != impl_->requests.end()) {
    ServiceState& service = *found->second.service;
    impl_->CancelCurrent(found->second);
    impl_->Erase(found->second);
    impl_->ServeWaiting(service);
  }
  return std::exchange(impl_->actions, {});
}

Actions RequestEngine::OnStopping()
{
  impl_->stopping = true;
  return std::exchange(impl_->actions, {});
}

Actions RequestEngine::OnTimer()
{
  const TimePoint now = impl_->clock.Now();
  while (const auto due = impl_->timers.Due(now)) {
    OpenRequest& request = impl_->requests.at(*due);
    ServiceState& service = *request.service;
    impl_->Expire(request);
    impl_->ServeWaiting(service);
  }
  std::vector<ServiceState*> due;
  for (const auto& [service, time] : impl_->rechecks) {
    if (time <= now) {
      due.push_back(service);
    }
  }
  for (ServiceState* service : due) {
    impl_->ServeWaiting(*service);
  }
  return std::exchange(impl_->actions, {});
}

std::optional<TimePoint> RequestEngine::NextTimer() const
{
  std::optional<TimePoint> next = impl_->timers.Next();
  for (const auto& recheck : impl_->rechecks) {
    next = std::min(next.value_or(recheck.second), recheck.second);
  }
  return next;
}

std::vector<TargetObservation> RequestEngine::TakeObservations()
{
  std::vector<TargetObservation> observations;
  const TimePoint now = impl_->clock.Now();
  for (const auto& entry : impl_->services.All()) {
    entry.second->TakeObservations(now, observations);
  }
  return observations;
}

std::size_t RequestEngine::OpenRequests() const
{
  return impl_->requests.size();
}

} // namespace lacewing
