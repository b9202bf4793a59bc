#ifndef FLEET_SPILLCONTROL_H
#define FLEET_SPILLCONTROL_H

#include "balance/FleetSnapshot.h"
#include "balance/LoadSnapshot.h"
#include "core/SnapshotCell.h"
#include "lacewing/Clock.h"
#include "metrics/MetricsPage.h"
#include "spill/SpillPlan.h"
#include "spill/SpillUsage.h"
#include "spill/ZoneCost.h"
#include "spill/ZoneReport.h"
#include "spill/ZoneSpill.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace lacewing {

/**
 * The control thread's part of traffic between zones: decides for each service
 * what this host's callers send to other zones.
 */
class SpillControl
{
public:
  /** aUsage is null if the sizes of requests are not known. */
  SpillControl(const ZoneId& aOwnZone,
               const ZoneCost& aCost,
               std::shared_ptr<const SnapshotCell<SpillUsage>> aUsage);

  /** Whether half a second has passed since the last call of Update. */
  bool IsDue(TimePoint aNow) const;

  /**
   * Decides for all services. aReceived are the reports of the other zones;
   * zones without usable targets of a service are not chosen for it.
   */
  std::shared_ptr<const SpillPlan> Update(
    TimePoint aNow,
    const FleetSnapshot& aFleet,
    const LoadSnapshot& aLoad,
    const std::vector<ZoneReport>& aReceived);

  /** This zone's loads of the last Update, for the other zones. */
  const std::vector<ZoneLoad>& OwnLoads() const { return ownLoads_; }

  void AddMetrics(MetricsPage& aPage) const;

private:
  struct Service
  {
    Service(const ZoneId& aOwnZone, const ZoneCost& aCost)
      : spill(aOwnZone, aCost)
    {
    }

    ZoneSpill spill;
    /** Totals of the traffic thread at the last decision. */
    ServiceUsage usage;
    /** Mean size of a request with its response. */
    ByteCount bytes;
    /** The total share of the last log line. */
    double loggedShare = 0;
    /** Zones that have ever been chosen; they stay on the metrics page. */
    std::map<ZoneId, double> shares;
  };

  void UpdateSize(const ServiceId& aId, Service& aService);
  void LogChange(const ServiceId& aId, Service& aService);

  const ZoneId ownZone_;
  const ZoneCost cost_;
  const std::shared_ptr<const SnapshotCell<SpillUsage>> usage_;
  std::map<ServiceId, Service> services_;
  std::vector<ZoneLoad> ownLoads_;
  TimePoint updatedAt_;
};

} // namespace lacewing

#endif // FLEET_SPILLCONTROL_H
