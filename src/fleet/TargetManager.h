#ifndef FLEET_TARGETMANAGER_H
#define FLEET_TARGETMANAGER_H

#include "balance/ColdTerms.h"
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
 * Works out which targets this host may use and which it owns, probes the
 * owned ones, and publishes the snapshots for the traffic thread.
 */
class TargetManager
{
public:
  /** aOnHealthChange is called when an owned target's health changed. */
  TargetManager(asio::io_context& aContext,
                const Clock& aClock,
                const PeerAddress& aSelf,
                const FleetOptions& aTerms,
                SnapshotCell<FleetSnapshot>& aFleet,
                SnapshotCell<LoadSnapshot>& aLoad,
                std::function<void()> aOnHealthChange);
  ~TargetManager();
  TargetManager(const TargetManager&) = delete;
  TargetManager& operator=(const TargetManager&) = delete;

  /** Takes over a changed catalog or membership. */
  void Rebuild(const CatalogView& aCatalog, const PeerExchange& aPeers);

  void SetColdTerms(const ColdTerms& aTerms);

  /** A peer probed a target. */
  void OnReading(const LoadReading& aReading);

  void ProbeAll();

  /** Publishes readings that came since. */
  void PublishReadings();

  std::vector<LoadReading> OwnReadings() const;

  /** Whether callers can be served. */
  bool Ready() const;

  std::uint64_t ProbeCount() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // FLEET_TARGETMANAGER_H
