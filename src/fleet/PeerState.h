#ifndef FLEET_PEERSTATE_H
#define FLEET_PEERSTATE_H

#include "lacewing/Clock.h"
#include "lacewing/Revision.h"

#include <vector>

namespace lacewing {

/** The state that a host reports to its peers. */
struct PeerState
{
  bool leaving = false;
  bool storeOk = true;
  /**
   * The revisions up to which the host's catalog is complete, by CatalogKind.
   */
  std::vector<Revision> revisions;
  /** When the store last confirmed these revisions. */
  TimePoint confirmedAt;
};

} // namespace lacewing

#endif // FLEET_PEERSTATE_H
