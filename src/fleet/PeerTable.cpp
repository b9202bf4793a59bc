#include "fleet/PeerTable.h"

#include <utility>

namespace lacewing {

namespace {

// Period of heartbeats inside a zone of fewer than kHostsPerStep other hosts.
// Larger zones send less often, so that the cost for each host stays about the
// same.
constexpr Duration kHeartbeatStep = std::chrono::milliseconds(200);
constexpr std::size_t kHostsPerStep = 16;
// Number of consecutive heartbeats that must be missing before a host counts as
// unresponsive, so that a host that is only slow is not dropped at once.
constexpr int kMissedHeartbeats = 3;
// Network partitions of machines last seconds. A host that is unresponsive for
// longer is assumed to have stopped.
constexpr Duration kMayRunPartitioned = std::chrono::seconds(30);
// Unresponsive hosts still receive heartbeats for this long, so that both sides
// find each other again after a network partition.
constexpr Duration kForgetAfter = std::chrono::seconds(120);
// A listed host from which no heartbeat arrives within this time has left. A
// new host sends greetings to its seeds itself.
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
    lastJoin_ = aNow;
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
  if (!peer.lastHeartbeatAt) {
    lastJoin_ = aNow;
  }
  // Incarnations come from the date, which may have gone back. So a lower
  // incarnation is treated as a late datagram only while heartbeats of the
  // later run are received.
  if (wasAlive && aHeartbeat.incarnation < peer.incarnation) {
    return false;
  }
  if (peer.lastHeartbeatAt && peer.incarnation != aHeartbeat.incarnation) {
    restarts_.push_back({ aHeartbeat.from.host, peer.leaving });
  }
  const bool changed = !wasAlive || peer.leaving != aHeartbeat.leaving ||
                       peer.incarnation != aHeartbeat.incarnation;
  peer.address = aHeartbeat.from;
  peer.incarnation = aHeartbeat.incarnation;
  peer.lastHeartbeatAt = aNow;
  peer.leaving = aHeartbeat.leaving;
  peer.storeOk = aHeartbeat.storeOk;
  peer.positions = aHeartbeat.positions;
  return changed;
}

std::vector<HostRestart> PeerTable::TakeRestarts()
{
  return std::exchange(restarts_, {});
}

bool PeerTable::IsAlive(const Peer& aPeer, TimePoint aNow) const
{
  const Duration timeout =
    HeartbeatPeriod() * kMissedHeartbeats + kHeartbeatStep / 2;
  return aPeer.lastHeartbeatAt && *aPeer.lastHeartbeatAt + timeout > aNow;
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
