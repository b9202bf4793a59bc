#ifndef FLEET_ROLLOUTCONTROL_H
#define FLEET_ROLLOUTCONTROL_H

#include "balance/FleetSnapshot.h"
#include "balance/LoadSnapshot.h"
#include "balance/WatchRole.h"
#include "catalog/CatalogDecoder.h"
#include "catalog/CatalogReplica.h"
#include "core/SnapshotCell.h"
#include "fleet/CatalogSource.h"
#include "fleet/EvidenceReader.h"
#include "fleet/HostIdentity.h"
#include "fleet/PeerExchange.h"
#include "lacewing/Clock.h"
#include "metrics/MetricsPage.h"
#include "rollout/RolloutLimits.h"

#include <functional>
#include <memory>

namespace lacewing {

/**
 * The control thread's part in rollouts: applies the orders and the directives
 * to the targets in use, decides about the orders that fall to this host,
 * exchanges evidence and directives with its peers, and writes the status.
 * Exists only in deployments with rollouts.
 */
class RolloutControl
{
public:
  /** aRebuild publishes a snapshot anew, which calls ApplyVersions. */
  RolloutControl(const Clock& aClock,
                 const HostIdentity& aIdentity,
                 const RolloutLimits& aLimits,
                 const CatalogDecoder& aDecoder,
                 CatalogSource& aSource,
                 const SnapshotCell<LoadSnapshot>& aLoad,
                 PeerExchange& aPeers,
                 std::function<void()> aRebuild);
  ~RolloutControl();
  RolloutControl(const RolloutControl&) = delete;
  RolloutControl& operator=(const RolloutControl&) = delete;

  /** Without a reader this host has no evidence of its own. */
  void SetEvidenceReader(EvidenceReader aReader);

  /** The catalog has changed; a rebuild follows. */
  void OnCatalog(const CatalogReplica& aReplica);

  /** Whether aReplica has read the orders since the last OnCatalog. */
  bool AwaitsOrders(const CatalogReplica& aReplica) const;

  /** Leaves in a snapshot the targets that may be used. */
  void ApplyVersions(FleetSnapshot& aSnapshot);

  /** A heartbeat with evidence or directives was received. */
  void OnMessage(const PeerHeartbeat& aHeartbeat);

  /** Periodic step. aRole is this host's part in watching the store. */
  void Tick(WatchRole aRole);

  void AddMetrics(MetricsPage& aPage) const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // FLEET_ROLLOUTCONTROL_H
