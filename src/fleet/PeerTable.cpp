#include "fleet/PeerTable.h"

namespace lacewing {

namespace {

// Three beats and more; a host that is only slow is not given up at once.
constexpr Duration kZoneSilence = std::chrono::milliseconds(700);
constexpr Duration kFarSilence = std::chrono::milliseconds(1700);
// Cuts of machines last seconds; a host silent for longer is taken as stopped.
constexpr Duration kMayRunBehindCut = std::chrono::seconds(30);
// Beats still go to silent hosts for this long, so that both ends of a healed
// cut find each other again.
constexpr Duration kForgetAfter = std::chrono::seconds(120);

} // namespace

PeerTable::PeerTable(const PeerAddress& aSelf)
  : self_(aSelf)
{
}

bool PeerTable::Learn(const PeerAddress& aAddress)
{
  if (aAddress.host == self_.host) {
    return false;
  }
  const auto [peer, added] = peers_.try_emplace(aAddress.host);
  if (added) {
    peer->second.address = aAddress;
  }
  return added;
}

bool PeerTable::OnBeat(const PeerBeat& aBeat, TimePoint aNow)
{
  if (aBeat.from.host == self_.host) {
    return false;
  }
  Peer& peer = peers_[aBeat.from.host];
  if (peer.heardAt && aBeat.incarnation < peer.incarnation) {
    return false;
  }
  const bool wasAlive = IsAlive(peer, aNow);
  const bool changed = !wasAlive || peer.leaving != aBeat.leaving ||
                       peer.incarnation != aBeat.incarnation;
  peer.address = aBeat.from;
  peer.incarnation = aBeat.incarnation;
  peer.heardAt = aNow;
  peer.leaving = aBeat.leaving;
  peer.storeOk = aBeat.storeOk;
  peer.revisions = aBeat.revisions;
  return changed;
}

bool PeerTable::IsAlive(const Peer& aPeer, TimePoint aNow) const
{
  const Duration silence =
    aPeer.address.zone == self_.zone ? kZoneSilence : kFarSilence;
  return aPeer.heardAt && *aPeer.heardAt + silence > aNow;
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

unsigned PeerTable::SilentHosts(TimePoint aNow) const
{
  unsigned silent = 0;
  for (const auto& [host, peer] : peers_) {
    const bool lately = peer.heardAt && *peer.heardAt + kMayRunBehindCut > aNow;
    silent += lately && !peer.leaving && !IsAlive(peer, aNow) ? 1 : 0;
  }
  return silent;
}

void PeerTable::Forget(TimePoint aNow)
{
  for (auto peer = peers_.begin(); peer != peers_.end();) {
    const bool old =
      peer->second.heardAt && *peer->second.heardAt + kForgetAfter < aNow;
    peer = old ? peers_.erase(peer) : std::next(peer);
  }
}

} // namespace lacewing
