#ifndef FLEET_FLEETCONTROL_H
#define FLEET_FLEETCONTROL_H

#include "balance/FleetSnapshot.h"
#include "balance/LoadSnapshot.h"
#include "catalog/CatalogDecoder.h"
#include "core/SnapshotCell.h"
#include "fleet/CatalogSource.h"
#include "fleet/FleetOptions.h"
#include "fleet/HostIdentity.h"
#include "http/HttpMessage.h"
#include "lacewing/Clock.h"
#include "lacewing/Outcome.h"

#include <asio/io_context.hpp>

#include <memory>

namespace lacewing {

/**
 * The control thread's work on one host: keeps the catalog and the membership,
 * probes the targets it owns, tells its peers, and publishes the snapshots
 * that the traffic thread decides on.
 */
class FleetControl
{
public:
  /** Takes datagrams at once; fails when the address cannot be bound. */
  static Outcome<std::unique_ptr<FleetControl>> Make(
    asio::io_context& aContext,
    const Clock& aClock,
    const HostIdentity& aIdentity,
    const FleetOptions& aTerms,
    const CatalogDecoder& aDecoder,
    CatalogSource& aSource,
    SnapshotCell<FleetSnapshot>& aFleet,
    SnapshotCell<LoadSnapshot>& aLoad);

  ~FleetControl();
  FleetControl(const FleetControl&) = delete;
  FleetControl& operator=(const FleetControl&) = delete;

  /** Whether this host can serve callers. */
  bool Ready() const;

  /** Hands this host's tasks to its peers; it is about to stop. */
  void BeginLeave();

  void SetColdTerms(const ColdTerms& aTerms);

  /** Answers a peer's catalog pull. */
  HttpMessage HandlePull(const HttpMessage& aRequest);

  /** The control thread's metrics as text. */
  std::string MetricsText() const;

private:
  struct Impl;
  explicit FleetControl(std::shared_ptr<Impl> aImpl);

  std::shared_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // FLEET_FLEETCONTROL_H
