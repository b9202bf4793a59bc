#ifndef FLEET_REMOTEZONEHOSTS_H
#define FLEET_REMOTEZONEHOSTS_H

#include "fleet/PeerAddress.h"
#include "lacewing/Clock.h"

#include <map>
#include <vector>

namespace lacewing {

/**
 * The known hosts of other zones, from which the receivers of a zone digest are
 * chosen.
 */
class RemoteZoneHosts
{
public:
  void Learn(const PeerAddress& aHost);

  /**
   * Notes that aHost is a speaker of its zone, as reported by itself or by
   * another host of that zone.
   */
  void OnSpeaker(const PeerAddress& aHost, TimePoint aNow);

  /**
   * Hosts to send a zone digest to: the speakers of each zone or, where no
   * current speaker is known, the hosts that rank highest. With aAll, all known
   * hosts; this is used periodically so that zones find each other again after
   * a network partition.
   */
  std::vector<PeerAddress> Recipients(TimePoint aNow, bool aAll) const;

  /**
   * Hosts to report to a starting host of aZone: the known hosts of its zone,
   * and the speakers of the other zones.
   */
  std::vector<PeerAddress> HostsToIntroduce(const ZoneId& aZone,
                                            TimePoint aNow) const;

private:
  struct Entry
  {
    PeerAddress address;
    /** When the host was last reported as a speaker of its zone. */
    TimePoint lastSpeakerAt;
  };

  std::map<ZoneId, std::map<HostId, Entry>> zones_;
};

} // namespace lacewing

#endif // FLEET_REMOTEZONEHOSTS_H
