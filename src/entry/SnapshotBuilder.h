#ifndef ENTRY_SNAPSHOTBUILDER_H
#define ENTRY_SNAPSHOTBUILDER_H

#include "config/Configuration.h"
#include "decision/RoutingSnapshot.h"
#include "entry/KnownPhases.h"
#include "lacewing/HostId.h"

#include <memory>
#include <set>

namespace lacewing {

/**
 * Builds the workers' snapshots from the configuration and the phases. A
 * route that did not change is shared with the snapshot before, so that the
 * workers see by its address which services changed.
 */
class SnapshotBuilder
{
public:
  SnapshotBuilder(ZoneId aOwnZone, unsigned aWorkers)
    : ownZone_(std::move(aOwnZone))
    , workers_(aWorkers)
  {
  }

  std::shared_ptr<const RoutingSnapshot> Build(
    const Configuration& aConfiguration,
    const KnownPhases& aPhases);

private:
  std::shared_ptr<const ServiceRoute> BuildRoute(
    const ServiceConfig& aService,
    const Configuration& aConfiguration,
    const KnownPhases& aPhases) const;
  ConnectionCount ConnectionsPerWorker(
    const ServiceConfig& aService,
    const Configuration& aConfiguration) const;

  ZoneId ownZone_;
  unsigned workers_;
  std::shared_ptr<const RoutingSnapshot> last_;
};

} // namespace lacewing

#endif // ENTRY_SNAPSHOTBUILDER_H
