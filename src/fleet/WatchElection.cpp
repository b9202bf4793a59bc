#include "fleet/WatchElection.h"

#include "balance/Watchers.h"
#include "core/Log.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

// A starting host has heard each peer that it knows within the period of their
// heartbeats plus this time, and knows its zone once no peer has joined for
// kSettleTime. A host that decided earlier would often take itself for the
// highest of a large zone and watch the store needlessly.
constexpr Duration kPeerWait = std::chrono::milliseconds(200);
constexpr Duration kSettleTime = std::chrono::milliseconds(400);
// Joins of later hosts no longer hold up the election then. At the first start
// of a deployment all hosts wait this long, since some hear nobody for a while.
constexpr Duration kMaxWait = std::chrono::milliseconds(2000);
// A host that lost the store tries it again after this time, before it is
// elected, so that the watcher in its place goes on if the store still shuts it
// out. After a pause of 8 s an outage of all zones left a single watcher.
constexpr Duration kTrialPeriod = std::chrono::seconds(1);
// A host that has not got a change from its peers for this long is probably cut
// off from them. Pulls that fail cost some 150 ms each.
constexpr Duration kMaxBehind = std::chrono::milliseconds(500);
// Network partitions last seconds; a host that gave up its watch at the first
// change that it receives would get each further one late.
constexpr Duration kOwnWatchTime = std::chrono::seconds(5);

} // namespace

WatchElection::WatchElection(const Clock& aClock,
                             const OwnerCandidate& aSelf,
                             bool aFirstStart)
  : clock_(aClock)
  , self_(aSelf)
  , firstStart_(aFirstStart)
  , startedAt_(aClock.Now())
{
}

bool WatchElection::Update(const PeerExchange& aPeers,
                           bool aLeaving,
                           Duration aBehind)
{
  const TimePoint now = clock_.Now();
  if (firstStart_ && now < startedAt_ + kMaxWait) {
    return false;
  }
  const TimePoint heard = startedAt_ + aPeers.HeartbeatPeriod() + kPeerWait;
  const TimePoint settled =
    std::max(aPeers.LastJoin(), startedAt_) + kSettleTime;
  if (now < std::min(std::max(heard, settled), startedAt_ + kMaxWait)) {
    return false;
  }
  const std::vector<ZoneId> otherZones = aPeers.ZonesReachingStore();
  std::vector<OwnerCandidate> hosts = HostsReachingStore(aPeers, aLeaving);
  if (hosts.empty() && otherZones.empty()) {
    // No host reaches the store, so the hosts that are chosen normally keep
    // trying.
    hosts = aPeers.Candidates();
  }
  const WatchRole elected = WatchRoleOf(self_, hosts, otherZones);
  if (aBehind >= kMaxBehind) {
    watchesItselfUntil_ = now + kOwnWatchTime;
  }
  const bool watchesItself = elected == WatchRole::kNone && storeOk_ &&
                             !aLeaving && now < watchesItselfUntil_;
  const WatchRole newRole = watchesItself ? WatchRole::kStandby : elected;
  if (newRole == role_) {
    return false;
  }
  role_ = newRole;
  Log(LogLevel::kInfo,
      "watch",
      { { "role", ToString(role_) },
        { "reason", watchesItself ? "peers do not answer" : "elected" } });
  return true;
}

bool WatchElection::TakeTrial(const PeerExchange& aPeers, bool aLeaving)
{
  const TimePoint now = clock_.Now();
  if (storeOk_ || aLeaving || role_ != WatchRole::kNone || now < trialAt_) {
    return false;
  }
  std::vector<OwnerCandidate> hosts = HostsReachingStore(aPeers, aLeaving);
  hosts.push_back(self_);
  const WatchRole role = WatchRoleOf(self_, hosts, aPeers.ZonesReachingStore());
  if (role == WatchRole::kNone && now >= watchesItselfUntil_) {
    return false;
  }
  trialAt_ = now + kTrialPeriod;
  return true;
}

bool WatchElection::OnReachable(bool aReachable)
{
  if (!aReachable) {
    trialAt_ = clock_.Now() + kTrialPeriod;
  }
  if (std::exchange(storeOk_, aReachable) == aReachable) {
    return false;
  }
  Log(aReachable ? LogLevel::kInfo : LogLevel::kWarning,
      "store",
      { { "is", aReachable ? "regained" : "lost" } });
  return true;
}

std::vector<OwnerCandidate> WatchElection::HostsReachingStore(
  const PeerExchange& aPeers,
  bool aLeaving) const
{
  std::vector<OwnerCandidate> hosts;
  if (storeOk_ && !aLeaving) {
    hosts.push_back(self_);
  }
  for (const Peer* peer : aPeers.Alive()) {
    if (peer->storeOk && !peer->leaving) {
      hosts.push_back({ peer->address.host, peer->address.zone });
    }
  }
  return hosts;
}

} // namespace lacewing
