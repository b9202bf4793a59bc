#ifndef ENTRY_SNAPSHOTBUILDER_H
#define ENTRY_SNAPSHOTBUILDER_H

#include "config/Configuration.h"
#include "decision/RoutingSnapshot.h"
#include "decision/ServiceSubset.h"
#include "entry/KnownPhases.h"
#include "lacewing/HostId.h"

#include <map>
#include <memory>
#include <vector>

namespace lacewing {

/**
 * Builds the workers' snapshots from the configuration and the phases. A
 * route that did not change is shared with the snapshot before, so that the
 * workers see by its address which services changed.
 */
class SnapshotBuilder
{
public:
  SnapshotBuilder(HostId aOwnHost, ZoneId aOwnZone, unsigned aWorkers);

  std::shared_ptr<const RoutingSnapshot> Build(
    const Configuration& aConfiguration,
    const KnownPhases& aPhases);

private:
  /** What was made of a service, kept until its configuration changes. */
  struct Built
  {
    std::shared_ptr<const ServiceConfig> config;
    ServiceSubset subset;
    std::shared_ptr<const ServiceRoute> route;
  };

  void TakeZonesAndHosts(const Configuration& aConfiguration);
  ServiceSubset SelectTargets(const ServiceConfig& aService) const;
  std::shared_ptr<const ServiceRoute> MakeRoute(
    const Built& aBuilt,
    const KnownPhases& aPhases) const;

  HostId ownHost_;
  ZoneId ownZone_;
  unsigned workers_;
  std::vector<ZoneId> zones_;
  std::vector<HostId> hosts_;
  std::map<ServiceId, Built> built_;
};

} // namespace lacewing

#endif // ENTRY_SNAPSHOTBUILDER_H
