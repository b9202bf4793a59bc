#ifndef FLEET_CATALOGSYNC_H
#define FLEET_CATALOGSYNC_H

#include "catalog/CatalogReplica.h"
#include "core/OneShotTimer.h"
#include "fleet/CatalogProgress.h"
#include "fleet/CatalogPullServer.h"
#include "fleet/CatalogPuller.h"
#include "fleet/PeerAddress.h"
#include "fleet/PullPlan.h"
#include "fleet/PulledChanges.h"
#include "lacewing/Clock.h"

#include <asio/io_context.hpp>

#include <functional>
#include <string>
#include <vector>

namespace lacewing {

/**
 * This host's copy of the catalog, and its exchange with peers: pulls changes
 * that peers report, and answers their pulls. Changes from the store are
 * applied by the owner. Belongs to the control thread.
 */
class CatalogSync
{
public:
  /** Called after each pull that brought a response. */
  using Handler = std::function<void(const PeerAddress&, const PulledChanges&)>;

  CatalogSync(asio::io_context& aContext,
              const Clock& aClock,
              std::vector<CatalogKind> aKinds,
              Handler aHandler);

  const CatalogReplica& Replica() const { return replica_; }

  /** The positions of the replica, by CatalogKind. */
  std::vector<StorePosition> Positions() const;

  /** Whether a peer that has reached aPositions has all that this host has. */
  bool Equals(const std::vector<StorePosition>& aPositions) const;

  /** Applies changes from the store. Returns whether objects have changed. */
  bool Apply(CatalogKind aKind, const CatalogChanges& aChanges);

  /**
   * A heartbeat showed that aPeer has reached aPositions. Pulls from it, now or
   * soon, if they are later than this host's.
   */
  void NotePeer(const PeerAddress& aPeer,
                const std::vector<StorePosition>& aPositions);

  /** For how long this host has known of changes that it lacks. */
  Duration Behind() const { return progress_.Behind(clock_.Now()); }

  /** Periodic step: begins a pull that is due. */
  void BeginPulls();

  /** Returns the response to a peer's pull. */
  HttpMessage HandlePull(const HttpMessage& aRequest);

  void AddMetrics(MetricsPage& aPage) const { progress_.AddMetrics(aPage); }

private:
  void OnPulled(const PeerAddress& aPeer,
                const Outcome<CatalogPullResponse>& aResponse,
                Duration aElapsed);
  /**
   * This host's positions, of as many kinds as a peer has stated; a host that
   * does not follow rollouts knows one kind less.
   */
  std::vector<StorePosition> PositionsFor(
    const std::vector<StorePosition>& aPeer) const;

  const Clock& clock_;
  const std::vector<CatalogKind> kinds_;
  const Handler handler_;
  CatalogReplica replica_;
  CatalogProgress progress_;
  PullPlan plan_;
  CatalogPullServer server_;
  CatalogPuller puller_;
  OneShotTimer patience_;
};

} // namespace lacewing

#endif // FLEET_CATALOGSYNC_H
