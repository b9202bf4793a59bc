#ifndef GATEWAY_TARGETSEARCH_H
#define GATEWAY_TARGETSEARCH_H

#include "balance/Candidate.h"
#include "balance/ChoiceContext.h"
#include "core/OneShotTimer.h"
#include "gateway/FoundTarget.h"
#include "gateway/ProbePlan.h"
#include "gateway/TrafficState.h"
#include "http/ExchangeResult.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lacewing {

/** One search of a TargetFinder; probes the best candidates in rounds. */
class TargetSearch : public std::enable_shared_from_this<TargetSearch>
{
public:
  using Handler = std::function<void(std::optional<FoundTarget>)>;

  TargetSearch(TrafficState& aState,
               const ServiceId& aService,
               const ChoiceContext& aContext,
               Handler aHandler);

  /** Ranks the group's targets not in aExcluded; false if there is none. */
  bool Prepare(const std::set<TargetId>& aExcluded,
               TargetGroup aGroup = TargetGroup::kUsual);

  /** Probes the next candidates; after the last round, chooses the best. */
  void NextRound();

  /** Ends the search without calling the handler. */
  void Cancel();

  bool Done() const { return done_; }

private:
  struct Probe
  {
    FleetTarget target;
    std::unique_ptr<HttpConnection> connection;
    /** The probe has ended, with or without a response. */
    bool completed = false;
  };

  static bool IsAny(const FleetTarget&) { return true; }
  static bool IsInRemoteZone(const FleetTarget& aTarget)
  {
    return !aTarget.local;
  }

  Candidate MakeCandidate(const FleetTarget& aTarget,
                          const LoadSnapshot& aLoad);
  /**
   * Probes the aCount best candidates that fit and were not probed yet; returns
   * the number of probes that were sent.
   */
  std::size_t ProbeNext(std::size_t aCount, bool (*aFits)(const FleetTarget&));
  /** Probes a candidate and removes it; false if no probe was sent. */
  bool ProbeRanked(std::vector<const FleetTarget*>::iterator aAt);
  /** False if the target was seen to serve without reporting its load. */
  bool MayReportLoad(const FleetTarget& aTarget, const LoadSnapshot& aLoad);
  /** False at the limit of connections to the target. */
  bool SendProbe(const FleetTarget& aTarget);
  /** Whether a probe has not ended. */
  bool Waiting() const;
  void ArmTimer();
  void OnProbeEnded(Probe& aProbe, const ExchangeResult& aResult);
  Choice Judge(const FleetTarget& aTarget);
  bool IsEligible(const FleetTarget& aTarget);
  /** Whether the probe was answered and the target meets aDemand. */
  bool Meets(TargetQuality aDemand, const Probe& aProbe);
  /**
   * Ends the search with the probed target that meets the demand and has the
   * shortest expected latency, or with none.
   */
  void ChooseBest();
  /**
   * Chooses among the candidates that were not probed, because the budget for
   * probes is empty. False if none is fit and none may be probed.
   */
  bool ChooseWithoutProbe();
  void TakeUnprobed(const FleetTarget& aTarget,
                    std::unique_ptr<HttpConnection> aConnection);
  void Take(Probe& aProbe);
  void Finish(std::optional<FoundTarget> aFound);
  /**
   * Ends the search. Connections whose probe ends up to kLateResponseTime later
   * still return to the pool.
   */
  void End();
  /** Marks targets that have not answered their probe as unresponsive. */
  void DropUnresponsive();

  TrafficState& state_;
  const ServiceId service_;
  ChoiceContext context_;
  Handler handler_;
  OneShotTimer timer_;
  /** Owns the targets that ranked_ points to. */
  std::shared_ptr<const FleetSnapshot> fleet_;
  /** Candidates that were not probed yet, the best first. */
  std::vector<const FleetTarget*> ranked_;
  /** Set by Prepare(). */
  std::optional<ProbePlan> plan_;
  std::string healthPath_;
  std::optional<ConnectionCount> connectionCap_;
  /** Whether the best candidate may report its load. */
  bool reportsLoad_ = true;
  std::vector<std::unique_ptr<Probe>> probes_;
  bool done_ = false;
};

} // namespace lacewing

#endif // GATEWAY_TARGETSEARCH_H
