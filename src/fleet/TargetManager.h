#ifndef FLEET_TARGETMANAGER_H
#define FLEET_TARGETMANAGER_H

#include "balance/ColdStartLimits.h"
#include "balance/FleetSnapshot.h"
#include "balance/LoadSnapshot.h"
#include "core/SnapshotCell.h"
#include "fleet/CatalogView.h"
#include "fleet/FleetOptions.h"
#include "fleet/PeerAddress.h"
#include "fleet/PeerExchange.h"
#include "lacewing/Clock.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace lacewing {

/**
 * Determines which targets this host may use and which it owns, probes those it
 * owns, and publishes the snapshots for the traffic thread.
 */
class TargetManager
{
public:
  /**
   * aOnHealthChange is called when the health of an owned target changes, or
   * when the target becomes cold or warm.
   */
  TargetManager(asio::io_context& aContext,
                const Clock& aClock,
                const PeerAddress& aSelf,
                const FleetOptions& aOptions,
                SnapshotCell<FleetSnapshot>& aFleet,
                SnapshotCell<LoadSnapshot>& aLoad,
                std::function<void()> aOnHealthChange);
  ~TargetManager();
  TargetManager(const TargetManager&) = delete;
  TargetManager& operator=(const TargetManager&) = delete;

  /**
   * Applies a changed catalog or membership: determines owners anew and
   * publishes the result.
   */
  void Rebuild(const CatalogView& aCatalog, const PeerExchange& aPeers);

  /**
   * Sets what Rebuild does with a snapshot before it publishes it. Targets that
   * this leaves out are probed nevertheless.
   */
  void SetVersionRules(std::function<void(FleetSnapshot&)> aRules);

  void SetColdTerms(const ColdStartLimits& aTerms);
  void SetProbeLimits(const ProbeLimits& aLimits);

  /** Adds a reading that a peer measured. */
  void OnReading(const LoadReading& aReading);

  /**
   * Probes the owned targets; called each kOwnerProbePeriod. Skips calls if the
   * owners' probes would take too much of the limit.
   */
  void ProbeAll();

  /** Publishes aPlan with the readings. */
  void SetSpill(std::shared_ptr<const SpillPlan> aPlan);

  /** Publishes the readings that have arrived since the last call. */
  void PublishReadings();

  std::vector<LoadReading> OwnReadings() const;

  /** Whether this host can serve callers. */
  bool Ready() const;

  std::uint64_t ProbeCount() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // FLEET_TARGETMANAGER_H
