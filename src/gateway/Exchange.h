#ifndef GATEWAY_EXCHANGE_H
#define GATEWAY_EXCHANGE_H

#include "balance/AttemptResult.h"
#include "core/OneShotTimer.h"
#include "gateway/AllowanceStep.h"
#include "gateway/Attempt.h"
#include "gateway/DrainResult.h"
#include "gateway/LocalResponse.h"
#include "gateway/RequestTrace.h"
#include "gateway/TargetFinder.h"
#include "gateway/TrafficState.h"
#include "gateway/VersionDraw.h"
#include "http/HttpMessage.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lacewing {

/**
 * Handles one caller's request, from the moment it is completely received until
 * the response is known: chooses targets, sends attempts, retries and hedges.
 */
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  using Handler = std::function<void(HttpMessage)>;

  Exchange(TrafficState& aState, HttpMessage aRequest, Handler aHandler);
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  /**
   * Finds the route and forwards the request. Calls the handler once unless the
   * request is abandoned, possibly before Start returns.
   */
  void Start();

  /**
   * Called when the caller has ended its sending side: it is gone, or waits for
   * the response. A request that runs at most once completes at its target;
   * any other is cancelled and gets a local response.
   */
  void OnCallerClosed();

  /**
   * Called when the caller has disconnected; the handler is not called any
   * more. Cancels the attempts of a request that may be retried; a request that
   * runs at most once is left to complete at its target.
   */
  void Abandon();

  /**
   * Ends the request at a drain's end with a local response, which says that it
   * was not run only if that is certain. Counts it in aResult.
   */
  void EndDrain(DrainResult& aResult);

  /** The id that the caller set; empty without one. */
  const std::string& Id() const { return id_; }

private:
  std::string FieldOf(const std::string& aName) const;
  void Begin();
  /** Finds the customer; ends the request if its key is not valid. */
  bool Identify();
  /** Calls aStep with a token, or ends the request without one. */
  void TakeAllowance(void (Exchange::*aStep)());
  void OnAllowance(AllowanceVerdict aVerdict, void (Exchange::*aStep)());
  /** Chooses the service once the request may be sent. */
  void StartFirstAttempt();
  void ArmDeadline();
  void OnDeadline();
  /** Reads what the targets sent; whether the end of an attempt is queued. */
  bool ReadArrived();
  /** Calls OnHedge(aLast) after aAfter. */
  void ArmHedge(Duration aAfter, bool aLast);
  /**
   * Sends a second attempt while the first is in progress. Unless aLast is set,
   * only if the first one looks stuck; otherwise checks once more later.
   */
  void OnHedge(bool aLast);
  bool LooksStuck(const Attempt& aAttempt) const;

  /** Size of the request with its usual response. */
  ByteCount ExpectedBytes() const;
  /** Starts a search for another target; false when there is none to probe. */
  bool FindTarget();
  /** The customer's priority, or the route's without a customer. */
  Priority EffectivePriority() const;
  bool IsLeastUrgent() const;
  bool Search(const ChoiceContext& aContext, TargetGroup aGroup);
  void OnFound(std::optional<FoundTarget> aFound);
  void Send(FoundTarget aTarget);
  HttpHead RequestHead(const TargetSpec& aTarget) const;

  void OnEnded(AttemptId aAttempt, ExchangeResult aResult);
  bool TryRetry(AttemptResult aEnd);
  void WaitForCapacity();
  void FindTargetOrWait();
  /** Starts a retry, or ends the request if there is no target for it. */
  void FindTargetOrFail();
  /** Calls aStep after kRecheckInterval. */
  void ScheduleRecheck(void (Exchange::*aStep)());
  /**
   * Ends the request when no attempt is left: forwards the target's failure or
   * sends a local response.
   */
  void FinishFailed();
  void FinishLocally(LocalResponseKind aKind);
  void Finish(HttpMessage aResponse, const char* aOutcome);
  /** Stops timers and attempts; no handler runs any more. */
  void End();
  void CancelAttempts();
  bool MayHaveRun() const { return mayHaveRun_ || !attempts_.empty(); }
  /** Whether it must be left to complete although nobody may read its end. */
  bool RunsOn() const;
  RequestTrace Trace() const;

  TrafficState& state_;
  HttpHead head_;
  std::shared_ptr<const std::string> body_;
  /** The body's share of the memory for bodies. */
  const std::shared_ptr<BufferCharge> charge_;
  Handler handler_;
  std::string id_;
  TimePoint startedAt_;
  TimePoint deadline_;
  /** Keeps route_ valid when the configuration changes. */
  std::shared_ptr<const RouteTable> routes_;
  const RouteSpec* route_ = nullptr;
  /** For whom the request runs; null without customers or a key. */
  const CustomerSpec* customer_ = nullptr;
  ServiceId service_;
  std::vector<Attempt> attempts_;
  std::set<TargetId> triedTargets_;
  /** The zone drawn for the first search; empty for none and after it. */
  ZoneId firstZone_;
  /** Number of attempts whose bytes may have reached a target. */
  unsigned sent_ = 0;
  unsigned attemptCount_ = 0;
  /** An attempt ended without proof that it did not run. */
  bool mayHaveRun_ = false;
  /** How the last attempt ended; kNotSent before any has ended. */
  AttemptResult lastEnd_ = AttemptResult::kNotSent;
  HttpMessage lastResponse_;
  AttemptId nextAttempt_;
  VersionDraw version_;
  TargetFinder finder_;
  AllowanceStep allowance_;
  OneShotTimer deadlineTimer_;
  OneShotTimer stepTimer_;
  /** The caller has closed the connection or ended its sending side. */
  bool callerClosed_ = false;
  bool done_ = false;
};

} // namespace lacewing

#endif // GATEWAY_EXCHANGE_H
