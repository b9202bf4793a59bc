#ifndef FLEET_PEERSTATE_H
#define FLEET_PEERSTATE_H

#include "catalog/StorePosition.h"
#include "lacewing/Clock.h"

#include <vector>

namespace lacewing {

/** The state that a host reports to its peers. */
struct PeerState
{
  bool leaving = false;
  bool storeOk = true;
  /** Whether other zones are to learn the addresses of the zone's speakers. */
  bool namesSpeakers = false;
  /**
   * The positions up to which the host's catalog is complete, by CatalogKind.
   */
  std::vector<StorePosition> positions;
  /** When the store last confirmed these positions. */
  TimePoint confirmedAt;
};

} // namespace lacewing

#endif // FLEET_PEERSTATE_H
