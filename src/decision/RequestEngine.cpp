#include "decision/RequestEngine.h"

#include "decision/OpenAttempt.h"
#include "decision/OpenRequest.h"
#include "decision/ServiceState.h"

#include <algorithm>
#include <cassert>
#include <set>
#include <unordered_map>

namespace lacewing {

struct RequestEngine::Impl
{
  Impl(const Clock& aClock, const EngineOptions& aOptions)
    : clock(aClock)
    , options(aOptions)
  {
  }

  void Snapshot(std::shared_ptr<const RoutingSnapshot> aSnapshot);
  void Request(const RequestInfo& aRequest);
  void Place(OpenRequest& aRequest);
  void Send(OpenRequest& aRequest, const std::shared_ptr<TargetView>& aTarget);
  void Wait(OpenRequest& aRequest);
  void StopWaiting(OpenRequest& aRequest);
  void SetDue(OpenRequest& aRequest, TimePoint aDue);
  void ServeWaiting(ServiceState& aService);
  void Retry(OpenRequest& aRequest, bool aProvedNotRun, FinishReason aReason);
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

  const Clock& clock;
  EngineOptions options;
  std::shared_ptr<const RoutingSnapshot> snapshot;
  ServiceState::Grants grants;
  std::map<ServiceId, std::unique_ptr<ServiceState>> services;
  std::unordered_map<RequestId, OpenRequest> requests;
  std::unordered_map<AttemptId, OpenAttempt> attempts;
  std::set<std::pair<TimePoint, RequestId>> timers;
  std::uint64_t lastAttempt = 0;
  std::uint64_t lastArrival = 0;
  bool stopping = false;
  Actions actions;
};

void RequestEngine::Impl::Snapshot(
  std::shared_ptr<const RoutingSnapshot> aSnapshot)
{
  snapshot = std::move(aSnapshot);
  for (const auto& [id, route] : snapshot->services) {
    auto& service = services[id];
    if (!service) {
      service = std::make_unique<ServiceState>();
    }
    if (service->Route() != route.get()) {
      service->Update(route, grants);
    }
  }
  // A removed service stays while requests refer to it.
  for (auto& [id, service] : services) {
    if (snapshot->services.count(id) == 0) {
      service->Update(nullptr, grants);
    }
    ServeWaiting(*service);
  }
  std::set<const ServiceState*> used;
  for (const auto& entry : requests) {
    used.insert(entry.second.service);
  }
  for (auto it = services.begin(); it != services.end();) {
    const bool unused =
      it->second->Route() == nullptr && used.count(it->second.get()) == 0;
    it = unused ? services.erase(it) : std::next(it);
  }
}

void RequestEngine::Impl::Request(const RequestInfo& aRequest)
{
  if (stopping) {
    Refuse(aRequest.id, FinishReason::kStopping);
    return;
  }
  const auto found = services.find(aRequest.service);
  if (found == services.end() || found->second->Route() == nullptr) {
    Refuse(aRequest.id, FinishReason::kUnknownService);
    return;
  }
  ServiceState& service = *found->second;
  const TimePoint now = clock.Now();
  Duration time = service.Route()->deadline;
  if (aRequest.callerDeadline) {
    time = std::min(time, *aRequest.callerDeadline);
  }
  if (time <= Duration(0)) {
    Refuse(aRequest.id, FinishReason::kDeadlineBeforeSend);
    return;
  }
  if (service.Targets().empty()) {
    Refuse(aRequest.id, FinishReason::kNoTarget);
    return;
  }
  OpenRequest request;
  request.id = aRequest.id;
  request.service = &service;
  request.arrival = ++lastArrival;
  request.deadline = now + time;
  request.due = request.deadline;
  request.idempotent =
    service.Route()->idempotentMethods.count(aRequest.method) != 0;
  const auto [entry, added] = requests.emplace(request.id, request);
  assert(added && "request ids are unique");
  if (!added) {
    return;
  }
  timers.emplace(request.due, request.id);
  if (service.Waiting().size() >= options.maxWaiting) {
    Finish(entry->second, Disposition::kNotRun, FinishReason::kOverload);
    return;
  }
  Place(entry->second);
}

void RequestEngine::Impl::Place(OpenRequest& aRequest)
{
  ServiceState& service = *aRequest.service;
  if (service.Waiting().empty()) {
    if (const auto target = service.Pick(clock.Now())) {
      Send(aRequest, target);
      return;
    }
  }
  Wait(aRequest);
}

void RequestEngine::Impl::Send(OpenRequest& aRequest,
                               const std::shared_ptr<TargetView>& aTarget)
{
  assert(!aRequest.current);
  assert(aRequest.idempotent || !aRequest.mayHaveRun);
  const TimePoint now = clock.Now();
  const AttemptId attempt(++lastAttempt);
  aRequest.current = attempt;
  ++aRequest.attempts;
  SetDue(aRequest, aRequest.deadline);
  aTarget->OnSent(now);
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
  aRequest.waiting = true;
  aRequest.service->Waiting().Add(aRequest.arrival, aRequest.id);
  SetDue(aRequest, std::min(aRequest.deadline, clock.Now() + options.maxWait));
}

void RequestEngine::Impl::StopWaiting(OpenRequest& aRequest)
{
  if (aRequest.waiting) {
    aRequest.waiting = false;
    aRequest.service->Waiting().Remove(aRequest.arrival);
  }
}

void RequestEngine::Impl::SetDue(OpenRequest& aRequest, TimePoint aDue)
{
  if (aRequest.due != aDue) {
    timers.erase({ aRequest.due, aRequest.id });
    aRequest.due = aDue;
    timers.emplace(aDue, aRequest.id);
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
    const auto target = aService.Pick(now);
    if (!target) {
      return;
    }
    StopWaiting(first);
    Send(first, target);
  }
}

void RequestEngine::Impl::Retry(OpenRequest& aRequest,
                                bool aProvedNotRun,
                                FinishReason aReason)
{
  aRequest.mayHaveRun = aRequest.mayHaveRun || !aProvedNotRun;
  const bool allowed = aProvedNotRun || aRequest.idempotent;
  if (!allowed || aRequest.attempts >= options.maxAttempts || stopping ||
      aRequest.service->Targets().empty() || aRequest.deadline <= clock.Now()) {
    FinishWithoutAnswer(aRequest, FinishReason::kNotAccepted, aReason);
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
  found->second.target->OnCancelled(found->second.sent);
  attempts.erase(found);
  actions.push_back(CancelAttempt{ *aRequest.current });
  aRequest.current.reset();
  aRequest.mayHaveRun = true;
}

void RequestEngine::Impl::Erase(OpenRequest& aRequest)
{
  assert(!aRequest.current);
  StopWaiting(aRequest);
  timers.erase({ aRequest.due, aRequest.id });
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
  impl_->Snapshot(std::move(aSnapshot));
  return std::exchange(impl_->actions, {});
}

Actions RequestEngine::OnGrants(const std::vector<HeldGrant>& aGrants)
{
  impl_->grants.clear();
  for (const HeldGrant& grant : aGrants) {
    impl_->grants.emplace(grant.target, grant);
  }
  for (auto& entry : impl_->services) {
    entry.second->SetGrants(impl_->grants);
    impl_->ServeWaiting(*entry.second);
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
    attempt.target->OnAnswered(impl_->clock.Now(), attempt.sent, aAnswer);
    if (aAnswer.notRun) {
      impl_->Retry(*request, true, FinishReason::kConnectionLost);
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
    attempt.target->OnFailed(impl_->clock.Now(), attempt.sent, aFailure);
    switch (aFailure) {
      case AttemptFailure::kNotSent:
        impl_->Retry(*request, true, FinishReason::kConnectionLost);
        break;
      case AttemptFailure::kLost:
        impl_->Retry(*request, false, FinishReason::kConnectionLost);
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
  while (!impl_->timers.empty() && impl_->timers.begin()->first <= now) {
    OpenRequest& request = impl_->requests.at(impl_->timers.begin()->second);
    ServiceState& service = *request.service;
    impl_->Expire(request);
    impl_->ServeWaiting(service);
  }
  return std::exchange(impl_->actions, {});
}

std::optional<TimePoint> RequestEngine::NextTimer() const
{
  if (impl_->timers.empty()) {
    return std::nullopt;
  }
  return impl_->timers.begin()->first;
}

std::vector<TargetObservation> RequestEngine::TakeObservations()
{
  std::vector<TargetObservation> observations;
  for (auto& entry : impl_->services) {
    ServiceState& service = *entry.second;
    if (service.Route() != nullptr) {
      service.ReportWanted();
    }
    for (const auto& target : service.Targets()) {
      if (auto seen = target->TakeObservation(impl_->clock.Now())) {
        observations.push_back(*std::move(seen));
      }
    }
  }
  return observations;
}

std::size_t RequestEngine::OpenRequests() const
{
  return impl_->requests.size();
}

} // namespace lacewing
