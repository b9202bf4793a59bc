#include "fleet/PeerTable.h"

namespace lacewing {

namespace {

// Beats inside a zone of up to kHostsPerStep hosts; larger zones beat more
// rarely, so that a host's cost stays about the same.
constexpr Duration kHeartbeatStep = std::chrono::milliseconds(200);
constexpr std::size_t kHostsPerStep = 16;
// Beats that must be missing in a row; a host that is only slow is not given
// up at once.
constexpr int kMissedHeartbeats = 3;
// Cuts of machines last seconds; a host silent for longer is taken as stopped.
constexpr Duration kMayRunPartitioned = std::chrono::seconds(30);
// Beats still go to silent hosts for this long, so that both ends of a healed
// cut find each other again.
constexpr Duration kForgetAfter = std::chrono::seconds(120);
// A listed host that never answers has gone; a new one greets by itself.
constexpr Duration kForgetListedAfter = std::chrono::seconds(15);

} // namespace

PeerTable::PeerTable(const PeerAddress& aSelf)
  : self_(aSelf)
{
}

bool PeerTable::Learn(const PeerAddress& aAddress, TimePoint aNow)
{
  if (aAddress.host == self_.host) {
    return false;
  }
  const auto [peer, added] = peers_.try_emplace(aAddress.host);
  if (added) {
    peer->second.address = aAddress;
    peer->second.listedAt = aNow;
  }
  return added;
}

Duration PeerTable::HeartbeatPeriod() const
{
  return kHeartbeatStep * (1 + peers_.size() / kHostsPerStep);
}

bool PeerTable::OnHeartbeat(const PeerHeartbeat& aHeartbeat, TimePoint aNow)
{
  if (aHeartbeat.from.host == self_.host) {
    return false;
  }
  Peer& peer = peers_[aHeartbeat.from.host];
  const bool wasAlive = IsAlive(peer, aNow);
  // Incarnations come from the date, which may have gone back: a lower one
  // counts as a late datagram only while the later run is heard.
  if (wasAlive && aHeartbeat.incarnation < peer.incarnation) {
    return false;
  }
  const bool changed = !wasAlive || peer.leaving != aHeartbeat.leaving ||
                       peer.incarnation != aHeartbeat.incarnation;
  peer.address = aHeartbeat.from;
  peer.incarnation = aHeartbeat.incarnation;
  peer.lastHeartbeatAt = aNow;
  peer.leaving = aHeartbeat.leaving;
  peer.storeOk = aHeartbeat.storeOk;
  peer.revisions = aHeartbeat.revisions;
  return changed;
}

bool PeerTable::IsAlive(const Peer& aPeer, TimePoint aNow) const
{
  const Duration silence =
    HeartbeatPeriod() * kMissedHeartbeats + kHeartbeatStep / 2;
  return aPeer.lastHeartbeatAt && *aPeer.lastHeartbeatAt + silence > aNow;
}

std::vector<const Peer*> PeerTable::Alive(TimePoint aNow) const
{
  std::vector<const Peer*> alive;
  for (const auto& [host, peer] : peers_) {
    if (IsAlive(peer, aNow)) {
      alive.push_back(&peer);
    }
  }
  return alive;
}

std::vector<const Peer*> PeerTable::Known() const
{
  std::vector<const Peer*> known;
  for (const auto& [host, peer] : peers_) {
    known.push_back(&peer);
  }
  return known;
}

std::vector<OwnerCandidate> PeerTable::Candidates(TimePoint aNow,
                                                  bool aSelfLeaving) const
{
  std::vector<OwnerCandidate> candidates;
  if (!aSelfLeaving) {
    candidates.push_back({ self_.host, self_.zone });
  }
  for (const Peer* peer : Alive(aNow)) {
    if (!peer->leaving) {
      candidates.push_back({ peer->address.host, peer->address.zone });
    }
  }
  return candidates;
}

unsigned PeerTable::UnresponsiveHosts(TimePoint aNow) const
{
  unsigned unresponsive = 0;
  for (const auto& [host, peer] : peers_) {
    const bool lately =
      peer.lastHeartbeatAt && *peer.lastHeartbeatAt + kMayRunPartitioned > aNow;
    unresponsive += lately && !peer.leaving && !IsAlive(peer, aNow) ? 1 : 0;
  }
  return unresponsive;
}

void PeerTable::Forget(TimePoint aNow)
{
  for (auto peer = peers_.begin(); peer != peers_.end();) {
    const Peer& each = peer->second;
    const bool old = each.lastHeartbeatAt
                       ? *each.lastHeartbeatAt + kForgetAfter < aNow
                       : each.listedAt + kForgetListedAfter < aNow;
    peer = old ? peers_.erase(peer) : std::next(peer);
  }
}

} // namespace lacewing
