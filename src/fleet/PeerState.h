#ifndef FLEET_PEERSTATE_H
#define FLEET_PEERSTATE_H

#include "lacewing/Clock.h"
#include "lacewing/Revision.h"

#include <vector>

namespace lacewing {

/** What a host tells its peers of itself. */
struct PeerState
{
  bool leaving = false;
  bool storeOk = true;
  /** Up to where its catalog is complete, by CatalogKind. */
  std::vector<Revision> revisions;
  /** When the store last confirmed that. */
  TimePoint confirmedAt;
};

} // namespace lacewing

#endif // FLEET_PEERSTATE_H
