#ifndef ENTRY_REQUESTFORWARDER_H
#define ENTRY_REQUESTFORWARDER_H

#include "core/BufferBudget.h"
#include "core/OneShotTimer.h"
#include "decision/RequestEngine.h"
#include "entry/ForwarderOptions.h"
#include "entry/PendingRequest.h"
#include "entry/RequestTranslator.h"
#include "entry/WorkerReport.h"
#include "net/HttpClient.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace lacewing {

/**
 * Translates between HTTP and a RequestEngine: callers' requests become the
 * engine's events, its actions become calls to targets and answers to
 * callers. Used from the thread of its io_context only.
 */
class RequestForwarder
{
public:
  static Outcome<std::unique_ptr<RequestForwarder>> Make(
    asio::io_context& aContext,
    const Clock& aClock,
    const ForwarderOptions& aOptions);

  ~RequestForwarder();
  RequestForwarder(const RequestForwarder&) = delete;
  RequestForwarder& operator=(const RequestForwarder&) = delete;

  void Handle(HttpRequest aRequest, std::shared_ptr<HttpResponder> aResponder);
  void SetSnapshot(std::shared_ptr<const RoutingSnapshot> aSnapshot);
  void SetGrants(GrantRound aRound, const std::vector<HeldGrant>& aGrants);
  /** Every answer from now on asks its caller to close the connection. */
  void CloseConnections() { closeConnections_ = true; }
  /** Refuses new requests; those in progress go on. */
  void Stop();

  WorkerReport TakeReport();

  /** The memory for bodies and answers, also for bodies that still arrive. */
  std::shared_ptr<ReadBudget> Budget() const { return budget_; }

private:
  using PendingMap = std::unordered_map<RequestId, PendingRequest>;

  RequestForwarder(asio::io_context& aContext,
                   const Clock& aClock,
                   const ForwarderOptions& aOptions,
                   std::unique_ptr<RequestEngine> aEngine);

  void Refuse(HttpResponder& aResponder, RefusalReason aReason);
  void Execute(const Actions& aActions);
  void Do(const SendAttempt& aAction);
  void Do(const CancelAttempt& aAction);
  void Do(const FinishRequest& aAction);
  void OnCallDone(RequestId aRequest,
                  AttemptId aAttempt,
                  HttpCallResult aResult);
  void OnCallerGone(RequestId aRequest);
  void Answer(HttpResponder& aResponder,
              HttpResponse aResponse,
              std::shared_ptr<BufferCharge> aCharge);
  void Count(Disposition aDisposition, const char* aReason);
  void Measure(const PendingRequest& aPending);
  void SetTimer();

  const Clock& clock_;
  ForwarderOptions options_;
  RequestTranslator translator_;
  std::unique_ptr<RequestEngine> engine_;
  HttpClient client_;
  OneShotTimer timer_;
  std::optional<TimePoint> timerDue_;
  std::shared_ptr<BufferBudget> budget_;
  PendingMap pending_;
  std::unordered_map<AttemptId, RequestId> attempts_;
  RequestId lastId_;
  ConfigVersion version_;
  GrantRound grantRound_;
  bool ready_ = false;
  bool closeConnections_ = false;
  bool stopped_ = false;
  std::map<AnswerKey, std::uint64_t> answers_;
  std::uint64_t callersGone_ = 0;
  LatencyHistogram latency_;
  LatencyHistogram addedLatency_;
};

} // namespace lacewing

#endif // ENTRY_REQUESTFORWARDER_H
