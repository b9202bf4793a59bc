#include "standin/Target.h"

#include "core/JsonProperties.h"
#include "core/StableHash.h"
#include "load/AnswerBody.h"

#include <algorithm>
#include <cstdlib>
#include <unistd.h>
#include <utility>

namespace lacewing {

namespace {

// Above every limit that a property sets, so that the target itself decides.
constexpr std::size_t kServerConnections = 20000;

TimePoint DeadlineOf(const HttpRequest& aRequest, TimePoint aNow)
{
  const std::string* text = aRequest.fields.Find("Lacewing-Deadline-Ms");
  return text ? aNow + std::chrono::milliseconds(
                         std::strtol(text->c_str(), nullptr, 10))
              : TimePoint::max();
}

bool IsProbe(const HttpRequest& aRequest)
{
  return aRequest.method == "GET" && aRequest.target == "/probe";
}

constexpr const char* kRequestIdField = "Lacewing-Request-Id";

std::string RequestIdOf(const HttpRequest& aRequest)
{
  const std::string* id = aRequest.fields.Find(kRequestIdField);
  return id ? *id : std::string();
}

} // namespace

Target::Target(asio::io_context& aContext,
               const Clock& aClock,
               const TargetSpec& aSpec,
               RunLog& aLog,
               TimePoint aProcessStart)
  : context_(aContext)
  , clock_(aClock)
  , spec_(aSpec)
  , log_(aLog)
  , processStart_(aProcessStart)
  , serviceTime_(StableHash64(aSpec.id.value(), aSpec.properties.seed))
{
  BecomeColdInstance();
}

Target::~Target()
{
  DropAll();
}

Outcome<std::unique_ptr<Target>> Target::Make(asio::io_context& aContext,
                                              const Clock& aClock,
                                              const TargetSpec& aSpec,
                                              RunLog& aLog,
                                              TimePoint aProcessStart)
{
  std::unique_ptr<Target> target(
    new Target(aContext, aClock, aSpec, aLog, aProcessStart));
  BOOST_OUTCOME_TRY(target->Listen());
  return target;
}

Outcome<void> Target::Listen()
{
  HttpServerOptions options;
  options.endpoint = spec_.endpoint;
  options.maxConnections = kServerConnections;
  BOOST_OUTCOME_TRY(
    server_,
    HttpServer::Make(
      context_,
      options,
      [this](HttpRequest aRequest, std::shared_ptr<HttpResponder> aResponder) {
        Accept(std::move(aRequest), std::move(aResponder));
      }));
  return outcome::success();
}

void Target::Accept(HttpRequest aRequest,
                    std::shared_ptr<HttpResponder> aResponder)
{
  ++stats_.requests;
  if (Refuse(aRequest, *aResponder)) {
    return;
  }
  const TimePoint now = clock_.Now();
  const auto work = std::make_shared<TargetWork>(TargetWork{
    std::move(aRequest), std::move(aResponder), asio::steady_timer(context_) });
  work->deadline = DeadlineOf(work->request, now);
  work->probe = IsProbe(work->request);
  work->responder->OnGone([this, weak = std::weak_ptr<TargetWork>(work)] {
    if (const Work gone = weak.lock()) {
      Cancel(gone);
    }
  });
  if (!work->request.firstOnConnection) {
    Enqueue(work);
    return;
  }
  connecting_.insert(work);
  CountInProgress();
  work->timer.expires_after(spec_.properties.connectCost);
  work->timer.async_wait([this, work](const asio::error_code& aError) {
    if (!aError && connecting_.erase(work) > 0) {
      Enqueue(work);
    }
  });
}

bool Target::Refuse(const HttpRequest& aRequest, HttpResponder& aResponder)
{
  using Check = bool (Target::*)(const HttpRequest&, HttpResponder&);
  constexpr std::array<Check, 5> kChecks{ &Target::RefuseConnection,
                                          &Target::RefuseDraining,
                                          &Target::FailFast,
                                          &Target::FallOver,
                                          &Target::Shed };
  return std::any_of(kChecks.begin(), kChecks.end(), [&](Check aCheck) {
    return (this->*aCheck)(aRequest, aResponder);
  });
}

bool Target::RefuseConnection(const HttpRequest& aRequest,
                              HttpResponder& aResponder)
{
  if (!aRequest.firstOnConnection ||
      server_->OpenConnections() <= spec_.properties.maxConnections.value()) {
    return false;
  }
  ++stats_.refusedConnections;
  aResponder.Drop();
  return true;
}

bool Target::RefuseDraining(const HttpRequest& aRequest,
                            HttpResponder& aResponder)
{
  if (!spec_.properties.draining) {
    return false;
  }
  ++stats_.refusedDraining;
  aResponder.Send(MakeNotRunAnswer(aRequest));
  return true;
}

bool Target::FailFast(const HttpRequest& aRequest, HttpResponder& aResponder)
{
  if (!spec_.properties.failFast) {
    return false;
  }
  if (!IsProbe(aRequest)) {
    log_.SetEnd(LogRun(aRequest), RunEnd::kFailed);
  }
  aResponder.Send(MakeAnswer(500, aRequest));
  return true;
}

bool Target::FallOver(const HttpRequest&, HttpResponder& aResponder)
{
  if (!IsCold() || InProgress() < spec_.properties.coldLimit.value()) {
    return false;
  }
  ++stats_.fallOvers;
  stats_.highestInProgressCold =
    std::max<std::uint64_t>(stats_.highestInProgressCold, InProgress() + 1);
  aResponder.Drop();
  BecomeColdInstance();
  return true;
}

bool Target::Shed(const HttpRequest& aRequest, HttpResponder& aResponder)
{
  if (running_.size() < spec_.properties.slots.value() ||
      waiting_.size() < spec_.properties.maxWaiting) {
    return false;
  }
  ++stats_.shed;
  aResponder.Send(MakeNotRunAnswer(aRequest));
  return true;
}

void Target::Enqueue(const Work& aWork)
{
  waiting_.push_back(aWork);
  CountInProgress();
  StartWaiting();
}

void Target::StartWaiting()
{
  while (!waiting_.empty() &&
         running_.size() < spec_.properties.slots.value()) {
    const Work work = std::move(waiting_.front());
    waiting_.pop_front();
    if (work->deadline <= clock_.Now()) {
      ++stats_.expired;
      CountInProgress();
      work->responder->Send(MakeNotRunAnswer(work->request));
      continue;
    }
    Start(work);
  }
}

void Target::Start(const Work& aWork)
{
  aWork->started = clock_.Now();
  if (!aWork->probe) {
    aWork->run = LogRun(aWork->request);
  }
  if (spec_.properties.closeAfterRead) {
    Leave(aWork, RunEnd::kClosed);
    aWork->responder->Drop();
    return;
  }
  running_.insert(aWork);
  stats_.highestRunning =
    std::max<std::uint64_t>(stats_.highestRunning, running_.size());
  aWork->timer.expires_after(aWork->probe
                               ? spec_.properties.probeCost
                               : serviceTime_.Draw(spec_.properties));
  aWork->timer.async_wait([this, aWork](const asio::error_code& aError) {
    if (!aError && running_.count(aWork) > 0) {
      Finish(aWork);
    }
  });
}

void Target::Finish(const Work& aWork)
{
  Leave(aWork, RunEnd::kAnswered);
  ++(aWork->probe ? stats_.probes : stats_.answered);
  HttpResponse answer = MakeAnswer(200, aWork->request);
  answer.body = MakeAnswerBody(
    aWork->request.method, aWork->request.target, aWork->request.body);
  const Duration pause = spec_.properties.lateAnswer;
  if (pause > Duration(0)) {
    aWork->responder->SendTwice(
      answer, std::chrono::duration_cast<std::chrono::milliseconds>(pause));
  } else {
    aWork->responder->Send(std::move(answer));
  }
  StartWaiting();
}

void Target::Cancel(const Work& aWork)
{
  ++(aWork->started ? stats_.cancelledRunning : stats_.cancelledWaiting);
  Leave(aWork, RunEnd::kCancelled);
  StartWaiting();
}

void Target::Leave(const Work& aWork, RunEnd aEnd)
{
  connecting_.erase(aWork);
  running_.erase(aWork);
  waiting_.erase(std::remove(waiting_.begin(), waiting_.end(), aWork),
                 waiting_.end());
  aWork->timer.cancel();
  if (aWork->started) {
    Duration& used = aWork->probe ? stats_.probeTime : stats_.runTime;
    used += clock_.Now() - *aWork->started;
  }
  if (aWork->run) {
    log_.SetEnd(*aWork->run, aEnd);
  }
  CountInProgress();
}

void Target::Restart()
{
  ++stats_.restarts;
  BecomeColdInstance();
}

void Target::DropAll()
{
  std::vector<Work> dropped(connecting_.begin(), connecting_.end());
  dropped.insert(dropped.end(), waiting_.begin(), waiting_.end());
  dropped.insert(dropped.end(), running_.begin(), running_.end());
  for (const Work& work : dropped) {
    Leave(work, RunEnd::kDropped);
    work->responder->Drop();
  }
}

void Target::BecomeColdInstance()
{
  DropAll();
  instanceStart_ = clock_.Now();
  instance_ = InstanceId(spec_.id.value() + "-" + std::to_string(getpid()) +
                         "-" + std::to_string(++instances_));
}

void Target::CountInProgress()
{
  const std::size_t count = InProgress();
  load_.Set(clock_.Now(), count, spec_.properties.reportLag);
  stats_.highestInProgress =
    std::max<std::uint64_t>(stats_.highestInProgress, count);
  if (IsCold()) {
    stats_.highestInProgressCold =
      std::max<std::uint64_t>(stats_.highestInProgressCold, count);
  }
}

RunLog::Index Target::LogRun(const HttpRequest& aRequest)
{
  const Duration now = clock_.Now() - processStart_;
  if (stats_.runs++ == 0) {
    stats_.firstRun = now;
  }
  stats_.lastRun = now;
  return log_.Add(
    { spec_.id, RequestIdOf(aRequest), now, aRequest.method, aRequest.target });
}

bool Target::IsCold() const
{
  return clock_.Now() - instanceStart_ < spec_.properties.cold;
}

std::size_t Target::InProgress() const
{
  return connecting_.size() + waiting_.size() + running_.size();
}

HttpResponse Target::MakeAnswer(int aStatus, const HttpRequest& aRequest)
{
  const TargetProperties& properties = spec_.properties;
  HttpResponse answer;
  answer.status = aStatus;
  if (const std::string id = RequestIdOf(aRequest); !id.empty()) {
    answer.fields.Add(kRequestIdField, id);
  }
  answer.fields.Add("Target-Instance", instance_.value());
  answer.fields.Add("Target-State",
                    properties.draining ? "draining"
                    : IsCold()          ? "cold"
                                        : "warm");
  answer.fields.Add(
    "Target-Load",
    properties.reportLoad.empty()
      ? std::to_string(load_.Get(clock_.Now(), properties.reportLag)) + "/" +
          std::to_string(properties.slots.value())
      : properties.reportLoad);
  return answer;
}

HttpResponse Target::MakeNotRunAnswer(const HttpRequest& aRequest)
{
  HttpResponse answer = MakeAnswer(503, aRequest);
  answer.fields.Add("Target-Not-Run", "1");
  return answer;
}

Outcome<void> Target::Change(const nlohmann::json& aJson)
{
  BOOST_OUTCOME_TRY(SetProperties(spec_.properties, kTargetProperties, aJson));
  // There may be more slots than before.
  StartWaiting();
  return outcome::success();
}

nlohmann::json Target::Stats() const
{
  nlohmann::json json = GetProperties(stats_, kTargetStats);
  json["target"] = spec_.id.value();
  json["instance"] = instance_.value();
  json["running"] = running_.size();
  json["waiting"] = waiting_.size() + connecting_.size();
  json["connections"] = server_->OpenConnections();
  json["connections_accepted"] = server_->AcceptedConnections();
  const std::chrono::duration<double> slotTime =
    (clock_.Now() - processStart_) * spec_.properties.slots.value();
  json["probe_share"] =
    std::chrono::duration<double>(stats_.probeTime) / slotTime;
  return json;
}

} // namespace lacewing
