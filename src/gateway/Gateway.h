#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H

#include "balance/FleetSnapshot.h"
#include "balance/LoadSnapshot.h"
#include "core/SnapshotCell.h"
#include "gateway/DrainResult.h"
#include "gateway/GatewayCounters.h"
#include "gateway/GatewayOptions.h"
#include "lacewing/Clock.h"
#include "lacewing/Outcome.h"
#include "quota/AllowanceGate.h"
#include "rollout/RolloutEvidence.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace lacewing {

/** A host's traffic thread: accepts callers' requests and forwards them. */
class Gateway
{
public:
  using DrainHandler = std::function<void(const DrainResult&)>;

  /**
   * Starts to listen and to serve; fails when the address cannot be bound.
   * aAsker is called on the traffic thread for customers' tokens; without it,
   * their limits are not applied.
   */
  static Outcome<std::unique_ptr<Gateway>> Make(
    const Clock& aClock,
    const GatewayOptions& aOptions,
    const SnapshotCell<FleetSnapshot>& aFleet,
    const SnapshotCell<LoadSnapshot>& aLoad,
    AllowanceGate::Asker aAsker = nullptr);

  /** Stops the thread; requests in progress are aborted. */
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /** The port that callers connect to. */
  std::uint16_t Port() const;

  /**
   * From now on closes each connection after its response, and refuses requests
   * whose deadline is after aEnd. At aEnd stops listening and ends what is open
   * with local responses. Calls aOnEnded on the traffic thread once all
   * responses are written, or kFlushTime after the drain's end.
   */
  void BeginDrain(TimePoint aEnd, DrainHandler aOnEnded = nullptr);

  /** Moves the end of the drain in progress, unless it has come already. */
  void SetDrainEnd(TimePoint aEnd);

  /** How long responses may take to be written after a drain's end. */
  static constexpr Duration kFlushTime = std::chrono::milliseconds(150);

  /** Passes the answer to a call of the asker to the traffic thread. */
  void AnswerAsk(const AllowanceAnswer& aAnswer);

  void SetRetryTerms(const RetryLimits& aTerms);
  void SetProbeLimits(const ProbeLimits& aLimits);

  /** Closes connections on which no request is in progress. */
  void CloseIdle();

  /**
   * Stops listening if no request was received for aQuiet and none is in
   * progress or waits to be read; this also ends a drain. Calls aHandler on the
   * traffic thread with whether the gateway was closed by this or an earlier
   * call.
   */
  void CloseIfQuiet(Duration aQuiet, std::function<void(bool)> aHandler);

  /** Calls aHandler with a copy of the counters, on the traffic thread. */
  void ReadCounters(std::function<void(GatewayCounters)> aHandler);

  /**
   * Calls aHandler on the traffic thread with what this host's requests have
   * shown of the orders of rollouts in progress.
   */
  void ReadEvidence(std::function<void(std::vector<RolloutEvidence>)> aHandler);

private:
  struct Impl;
  explicit Gateway(std::unique_ptr<Impl> aImpl);

  std::unique_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // GATEWAY_GATEWAY_H
