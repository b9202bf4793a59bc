#include "entry/RequestForwarder.h"

#include "entry/AnswerWriter.h"
#include "entry/StatusTable.h"
#include "http/HopFields.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

// One way between zones takes 1.5 ms at most and a target opens a connection
// in about 1 ms, so a connection that is not open after this will not open.
constexpr std::chrono::milliseconds kConnectTimeout(250);

// The engine ends a request at its deadline; the transport's own limit comes
// after that and only matters if the engine's timer is late.
constexpr std::chrono::milliseconds kTimeoutReserve(1000);

AttemptFailure ToFailure(HttpCallEnd aEnd)
{
  switch (aEnd) {
    case HttpCallEnd::kNotSent:
      return AttemptFailure::kNotSent;
    case HttpCallEnd::kTimedOut:
      return AttemptFailure::kTimedOut;
    case HttpCallEnd::kTooLarge:
      return AttemptFailure::kTooLarge;
    case HttpCallEnd::kAnswered:
    case HttpCallEnd::kLost:
      return AttemptFailure::kLost;
  }
  return AttemptFailure::kLost;
}

HttpClientOptions ClientOptions()
{
  HttpClientOptions options;
  return options;
}

} // namespace

Outcome<std::unique_ptr<RequestForwarder>> RequestForwarder::Make(
  asio::io_context& aContext,
  const Clock& aClock,
  const ForwarderOptions& aOptions)
{
  BOOST_OUTCOME_TRY(auto engine, RequestEngine::Make(aClock, aOptions.engine));
  return std::unique_ptr<RequestForwarder>(
    new RequestForwarder(aContext, aClock, aOptions, std::move(engine)));
}

RequestForwarder::RequestForwarder(asio::io_context& aContext,
                                   const Clock& aClock,
                                   const ForwarderOptions& aOptions,
                                   std::unique_ptr<RequestEngine> aEngine)
  : clock_(aClock)
  , options_(aOptions)
  , translator_(aOptions.limits)
  , engine_(std::move(aEngine))
  , client_(aContext, ClientOptions())
  , timer_(aContext)
  , budget_(std::make_shared<BufferBudget>(aOptions.limits.maxBuffered))
{
}

RequestForwarder::~RequestForwarder() = default;

void RequestForwarder::Handle(HttpRequest aRequest,
                              std::shared_ptr<HttpResponder> aResponder)
{
  if (!ready_) {
    Refuse(*aResponder, RefusalReason::kNotReady);
    return;
  }
  auto translation = translator_.Translate(aRequest);
  if (const auto* refusal = std::get_if<RefusalReason>(&translation)) {
    Refuse(*aResponder, *refusal);
    return;
  }
  const ByteCount bodySize(aRequest.body.size());
  // The server keeps its own copy of the body until the answer.
  auto charge = BufferCharge::Make(
    budget_, bodySize + bodySize + options_.limits.answerReserve);
  if (!charge) {
    Refuse(*aResponder, RefusalReason::kBuffersFull);
    return;
  }
  auto& translated = std::get<TranslatedRequest>(translation);
  const RequestId id = ++lastId_;
  RequestInfo info;
  info.id = id;
  info.service = std::move(translated.service);
  info.method = aRequest.method;
  info.bodySize = bodySize;
  info.callerDeadline = translated.deadline;

  PendingRequest pending;
  pending.responder = std::move(aResponder);
  pending.method = std::move(aRequest.method);
  pending.target = std::move(translated.target);
  if (bodySize > ByteCount(0) ||
      aRequest.fields.Find("Content-Length") != nullptr) {
    pending.body =
      std::make_shared<const std::string>(std::move(aRequest.body));
  }
  pending.fields = EndToEndFields(std::move(aRequest.fields));
  pending.charge = std::move(charge);
  pending.arrival = clock_.Now();
  pending.responder->OnGone([this, id] { OnCallerGone(id); });
  pending_.emplace(id, std::move(pending));
  Execute(engine_->OnRequest(info));
}

void RequestForwarder::SetSnapshot(
  std::shared_ptr<const RoutingSnapshot> aSnapshot)
{
  ready_ = true;
  version_ = aSnapshot->version;
  Execute(engine_->OnSnapshot(std::move(aSnapshot)));
}

void RequestForwarder::SetGrants(GrantRound aRound,
                                 const std::vector<HeldGrant>& aGrants)
{
  grantRound_ = aRound;
  Execute(engine_->OnGrants(aGrants));
}

void RequestForwarder::Stop()
{
  closeConnections_ = true;
  stopped_ = true;
  Execute(engine_->OnStopping());
}

WorkerReport RequestForwarder::TakeReport()
{
  WorkerReport report;
  report.worker = options_.worker;
  report.taken = clock_.Now();
  report.observations = engine_->TakeObservations();
  report.openRequests = pending_.size();
  report.buffered = budget_->Used();
  report.version = version_;
  report.callersGone = callersGone_;
  report.grantRound = grantRound_;
  report.stopped = stopped_;
  report.answers = answers_;
  report.latency = latency_;
  report.addedLatency = addedLatency_;
  return report;
}

void RequestForwarder::Refuse(HttpResponder& aResponder, RefusalReason aReason)
{
  Count(Disposition::kNotRun, StatusOf(aReason).reason);
  Answer(aResponder, WriteRefusal(aReason), nullptr);
}

void RequestForwarder::Execute(const Actions& aActions)
{
  for (const Action& action : aActions) {
    std::visit([this](const auto& aAction) { Do(aAction); }, action);
  }
  SetTimer();
}

void RequestForwarder::Do(const SendAttempt& aAction)
{
  const auto found = pending_.find(aAction.request);
  if (found == pending_.end()) {
    return;
  }
  PendingRequest& pending = found->second;
  const Duration remaining = aAction.deadline - clock_.Now();
  HttpCall call;
  call.endpoint = aAction.endpoint;
  call.method = pending.method;
  call.target = pending.target;
  // Each attempt has an id of its own, since a second one may go to the same
  // target, where an answer to the first one may come late.
  call.echo = RequestTranslator::IdField(
    options_.requestIdPrefix + std::to_string(aAction.request.value()) + "-" +
    std::to_string(aAction.attempt.value()));
  call.fields =
    RequestTranslator::FieldsForTarget(pending.fields, *call.echo, remaining);
  call.body = pending.body;
  call.timeout =
    std::chrono::ceil<std::chrono::milliseconds>(remaining) + kTimeoutReserve;
  call.connectTimeout = kConnectTimeout;
  call.maxResponseBody = options_.limits.maxAnswer;
  call.reserve = [charge = pending.charge,
                  spare =
                    options_.limits.answerReserve](ByteCount aBytes) mutable {
    const ByteCount own = std::min(spare, aBytes);
    spare -= own;
    return charge->Grow(aBytes - own);
  };
  // Only the engine repeats a request: it knows budgets and grants.
  call.idempotent = false;
  pending.attempt = aAction.attempt;
  pending.sent = clock_.Now();
  attempts_.emplace(aAction.attempt, aAction.request);
  pending.call =
    client_.Start(std::move(call),
                  [this, request = aAction.request, attempt = aAction.attempt](
                    HttpCallResult aResult) {
                    OnCallDone(request, attempt, std::move(aResult));
                  });
}

void RequestForwarder::Do(const CancelAttempt& aAction)
{
  const auto attempt = attempts_.find(aAction.attempt);
  if (attempt == attempts_.end()) {
    return;
  }
  const auto found = pending_.find(attempt->second);
  attempts_.erase(attempt);
  if (found != pending_.end() && found->second.call) {
    client_.Cancel(*std::exchange(found->second.call, std::nullopt));
  }
}

void RequestForwarder::Do(const FinishRequest& aAction)
{
  const auto found = pending_.find(aAction.request);
  if (found == pending_.end()) {
    return;
  }
  PendingRequest pending = std::move(found->second);
  pending_.erase(found);
  const bool answered = aAction.reason == FinishReason::kAnswered &&
                        aAction.attempt == pending.attempt;
  Count(aAction.disposition, ToString(aAction.reason));
  if (answered) {
    Measure(pending);
  }
  Answer(*pending.responder,
         answered ? WriteTargetAnswer(std::move(pending.answer))
                  : WriteOwnAnswer(aAction),
         std::move(pending.charge));
}

void RequestForwarder::OnCallDone(RequestId aRequest,
                                  AttemptId aAttempt,
                                  HttpCallResult aResult)
{
  attempts_.erase(aAttempt);
  const auto found = pending_.find(aRequest);
  if (found == pending_.end()) {
    return;
  }
  PendingRequest& pending = found->second;
  pending.call.reset();
  if (aResult.end != HttpCallEnd::kAnswered) {
    Execute(engine_->OnAttemptFailed(aAttempt, ToFailure(aResult.end)));
    return;
  }
  const AttemptAnswer answer = ReadTargetAnswer(aResult.response);
  pending.answer = std::move(aResult.response);
  pending.answered = clock_.Now();
  Execute(engine_->OnAnswer(aAttempt, answer));
}

void RequestForwarder::OnCallerGone(RequestId aRequest)
{
  const auto found = pending_.find(aRequest);
  if (found == pending_.end()) {
    return;
  }
  ++callersGone_;
  // The engine's CancelAttempt still needs the entry.
  Execute(engine_->OnCallerGone(aRequest));
  pending_.erase(aRequest);
}

void RequestForwarder::Answer(HttpResponder& aResponder,
                              HttpResponse aResponse,
                              std::shared_ptr<BufferCharge> aCharge)
{
  if (closeConnections_) {
    aResponse.fields.Set("Connection", "close");
  }
  aResponder.Send(std::move(aResponse), std::move(aCharge));
}

void RequestForwarder::Count(Disposition aDisposition, const char* aReason)
{
  ++answers_[AnswerKey{ aDisposition, aReason }];
}

void RequestForwarder::Measure(const PendingRequest& aPending)
{
  const Duration total = clock_.Now() - aPending.arrival;
  latency_.Add(total);
  addedLatency_.Add(total - (aPending.answered - aPending.sent));
}

void RequestForwarder::SetTimer()
{
  const std::optional<TimePoint> next = engine_->NextTimer();
  // A timer that fires early costs less than one that is set at each event.
  if (!next || (timerDue_ && *timerDue_ <= *next)) {
    return;
  }
  timerDue_ = next;
  timer_.ArmAt(*next, [this] {
    timerDue_.reset();
    Execute(engine_->OnTimer());
  });
}

} // namespace lacewing
