#ifndef DECISION_REQUESTENGINE_H
#define DECISION_REQUESTENGINE_H

#include "decision/Action.h"
#include "decision/AttemptAnswer.h"
#include "decision/AttemptFailure.h"
#include "decision/EngineOptions.h"
#include "decision/HeldGrant.h"
#include "decision/RequestInfo.h"
#include "decision/RoutingSnapshot.h"
#include "decision/TargetObservation.h"

#include "lacewing/Outcome.h"

#include <memory>
#include <optional>
#include <vector>

namespace lacewing {

/**
 * Decides where each request goes, when it waits, is retried or refused. Has
 * no sockets, threads or clock of its own; used from one thread. Each event
 * returns the actions that follow from it.
 */
class RequestEngine
{
public:
  /** Fails with kInvalidArgument when the strategy is unknown. */
  static Outcome<std::unique_ptr<RequestEngine>> Make(
    const Clock& aClock,
    const EngineOptions& aOptions);

  ~RequestEngine();
  RequestEngine(const RequestEngine&) = delete;
  RequestEngine& operator=(const RequestEngine&) = delete;

  Actions OnSnapshot(std::shared_ptr<const RoutingSnapshot> aSnapshot);
  /** Replaces every grant held. */
  Actions OnGrants(const std::vector<HeldGrant>& aGrants);
  Actions OnRequest(const RequestInfo& aRequest);
  Actions OnAnswer(AttemptId aAttempt, const AttemptAnswer& aAnswer);
  Actions OnAttemptFailed(AttemptId aAttempt, AttemptFailure aFailure);
  /** The caller closed its connection; cancels what is in progress. */
  Actions OnCallerGone(RequestId aRequest);
  /** Refuses requests from now on; those in progress go on. */
  Actions OnStopping();
  Actions OnTimer();

  /** When OnTimer is due next; empty when nothing waits. */
  std::optional<TimePoint> NextTimer() const;

  /** Observations of targets since the last call, only of those used. */
  std::vector<TargetObservation> TakeObservations();

  /** Requests that wait or are in progress. */
  std::size_t OpenRequests() const;

private:
  struct Impl;
  explicit RequestEngine(std::unique_ptr<Impl> aImpl);

  std::unique_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // DECISION_REQUESTENGINE_H
