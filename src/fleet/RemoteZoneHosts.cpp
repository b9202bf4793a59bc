#include "fleet/RemoteZoneHosts.h"

#include "balance/TargetOwner.h"
#include "fleet/Speakers.h"

namespace lacewing {

namespace {

// A speaker from which nothing was received for several heartbeats may have
// been replaced.
constexpr Duration kSpeakerTimeout = std::chrono::seconds(2);

} // namespace

void RemoteZoneHosts::Learn(const PeerAddress& aHost)
{
  zones_[aHost.zone][aHost.host].address = aHost;
}

void RemoteZoneHosts::OnSpeaker(const PeerAddress& aHost, TimePoint aNow)
{
  Entry& entry = zones_[aHost.zone][aHost.host];
  entry.address = aHost;
  entry.lastSpeakerAt = aNow;
}

std::vector<PeerAddress> RemoteZoneHosts::Recipients(TimePoint aNow,
                                                     bool aAll) const
{
  std::vector<PeerAddress> recipients;
  for (const auto& [zone, hosts] : zones_) {
    std::vector<PeerAddress> speakers;
    std::vector<OwnerCandidate> known;
    for (const auto& [host, entry] : hosts) {
      known.push_back({ host, zone });
      if (aAll || entry.lastSpeakerAt + kSpeakerTimeout > aNow) {
        speakers.push_back(entry.address);
      }
    }
    if (speakers.empty()) {
      for (const auto& [host, entry] : hosts) {
        if (IsZoneSpeaker(host, known)) {
          speakers.push_back(entry.address);
        }
      }
    }
    recipients.insert(recipients.end(), speakers.begin(), speakers.end());
  }
  return recipients;
}

std::vector<PeerAddress> RemoteZoneHosts::HostsToIntroduce(const ZoneId& aZone,
                                                           TimePoint aNow) const
{
  std::vector<PeerAddress> hosts;
  for (const PeerAddress& speaker : Recipients(aNow, false)) {
    if (speaker.zone != aZone) {
      hosts.push_back(speaker);
    }
  }
  const auto zone = zones_.find(aZone);
  if (zone != zones_.end()) {
    for (const auto& [host, entry] : zone->second) {
      hosts.push_back(entry.address);
    }
  }
  return hosts;
}

} // namespace lacewing
