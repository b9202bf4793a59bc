#ifndef FLEET_FLEETCONTROL_H
#define FLEET_FLEETCONTROL_H

#include "balance/FleetSnapshot.h"
#include "balance/LoadSnapshot.h"
#include "catalog/CatalogDecoder.h"
#include "core/SnapshotCell.h"
#include "fleet/CatalogSource.h"
#include "fleet/EvidenceReader.h"
#include "fleet/FleetOptions.h"
#include "fleet/HostIdentity.h"
#include "http/HttpMessage.h"
#include "lacewing/Clock.h"
#include "lacewing/Outcome.h"
#include "quota/AllowanceView.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>

namespace lacewing {

/**
 * The control thread's part of one host: keeps the catalog and the membership,
 * probes the targets that this host owns, exchanges state with its peers, and
 * publishes the snapshots on which the traffic thread bases its decisions.
 */
class FleetControl
{
public:
  /**
   * Starts to receive datagrams at once. Fails if the address cannot be bound.
   */
  static Outcome<std::unique_ptr<FleetControl>> Make(
    asio::io_context& aContext,
    const Clock& aClock,
    const HostIdentity& aIdentity,
    const FleetOptions& aOptions,
    const CatalogDecoder& aDecoder,
    CatalogSource& aSource,
    SnapshotCell<FleetSnapshot>& aFleet,
    SnapshotCell<LoadSnapshot>& aLoad);

  ~FleetControl();
  FleetControl(const FleetControl&) = delete;
  FleetControl& operator=(const FleetControl&) = delete;

  /** Whether this host can serve callers. */
  bool Ready() const;

  /**
   * Announces that this host is about to stop, so that its peers take over its
   * tasks.
   */
  void BeginLeave();

  /** Calls aHandler in each step of the control thread. */
  void SetTickHandler(std::function<void()> aHandler);

  /** The hosts among which the owners of customers' tokens are chosen. */
  AllowanceView HostsForAllowances() const;
  /** Sets how the traffic thread's evidence of rollouts is read. */
  void SetEvidenceReader(EvidenceReader aReader);

  void SetColdTerms(const ColdStartLimits& aTerms);
  void SetProbeLimits(const ProbeLimits& aLimits);

  /** Returns the response to a peer's catalog pull. */
  HttpMessage HandlePull(const HttpMessage& aRequest);

  /** The control thread's metrics in text format. */
  std::string MetricsText() const;

private:
  struct Impl;
  explicit FleetControl(std::shared_ptr<Impl> aImpl);

  std::shared_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // FLEET_FLEETCONTROL_H
