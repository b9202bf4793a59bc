#ifndef FLEET_REMOTEZONEHOSTS_H
#define FLEET_REMOTEZONEHOSTS_H

#include "fleet/PeerAddress.h"
#include "lacewing/Clock.h"

#include <map>
#include <vector>

namespace lacewing {

/** Hosts of other zones: where to send a zone's digest. */
class RemoteZoneHosts
{
public:
  void Learn(const PeerAddress& aHost);

  /** The host speaks for its zone, by its own word or by its zone's. */
  void OnSpeaker(const PeerAddress& aHost, TimePoint aNow);

  /**
   * Hosts to which a zone's digest goes: each zone's speakers, the highest by
   * rank where none is known, and now and then all, so that zones that lost
   * each other meet again.
   */
  std::vector<PeerAddress> Recipients(TimePoint aNow, bool aAll) const;

  /** Hosts to name to a starting host of aZone: its zone's, and speakers. */
  std::vector<PeerAddress> HostsToIntroduce(const ZoneId& aZone,
                                            TimePoint aNow) const;

private:
  struct Entry
  {
    PeerAddress address;
    TimePoint lastSpeakerAt;
  };

  std::map<ZoneId, std::map<HostId, Entry>> zones_;
};

} // namespace lacewing

#endif // FLEET_REMOTEZONEHOSTS_H
