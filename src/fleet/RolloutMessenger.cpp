#include "fleet/RolloutMessenger.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

// Period of messages of speakers, kept long because traffic between zones is
// charged. Changes of a directive are sent at once.
constexpr Duration kSendPeriod = std::chrono::milliseconds(500);
// Hosts of a large zone send their evidence as seldom as their heartbeats, but
// it must reach the deciding host within 1.5 s, with a speaker's period.
constexpr Duration kMaxEvidencePeriod = std::chrono::milliseconds(600);

} // namespace

RolloutMessenger::RolloutMessenger(const Clock& aClock,
                                   const HostIdentity& aIdentity,
                                   PeerExchange& aPeers,
                                   OrdersInProgress& aOrders,
                                   DirectiveTable& aDirectives)
  : clock_(aClock)
  , identity_(aIdentity)
  , peers_(aPeers)
  , orders_(aOrders)
  , directives_(aDirectives)
{
}

void RolloutMessenger::SetEvidenceReader(EvidenceReader aReader)
{
  reader_ = std::move(aReader);
}

EvidenceSource RolloutMessenger::Self() const
{
  return { identity_.self.host, identity_.incarnation };
}

std::vector<HostId> RolloutMessenger::LiveHosts() const
{
  std::vector<HostId> hosts = { identity_.self.host };
  for (const Peer* peer : peers_.Alive()) {
    hosts.push_back(peer->address.host);
  }
  return hosts;
}

std::vector<RolloutDirective> RolloutMessenger::Directives() const
{
  std::vector<RolloutDirective> all = directives_.All(clock_.Now());
  const auto ended = [this](const RolloutDirective& aDirective) {
    return std::as_const(orders_).Find(aDirective.order) == nullptr;
  };
  all.erase(std::remove_if(all.begin(), all.end(), ended), all.end());
  return all;
}

void RolloutMessenger::OnMessage(const PeerHeartbeat& aHeartbeat)
{
  const TimePoint now = clock_.Now();
  const EvidenceSource sender{ aHeartbeat.from.host, aHeartbeat.incarnation };
  const ZoneId& zone = aHeartbeat.from.zone;
  for (const RolloutEvidence& evidence : aHeartbeat.evidence) {
    OrderProgress* progress = orders_.Find(evidence.order);
    if (progress != nullptr && zone == identity_.self.zone) {
      progress->evidence.OnHost(now, sender, evidence);
    } else if (progress != nullptr) {
      progress->evidence.OnZone(now, zone, sender, evidence);
    }
  }
  bool changed = false;
  for (const RolloutDirective& directive : aHeartbeat.directives) {
    changed |= orders_.Find(directive.order) != nullptr &&
               directives_.Merge(now, directive);
  }
  if (changed && peers_.IsSpeaker()) {
    peers_.SendRollouts(RolloutReceivers::kZone, {}, Directives());
  }
}

void RolloutMessenger::ReadEvidence()
{
  const Duration period =
    std::min(peers_.HeartbeatPeriod(), kMaxEvidencePeriod);
  const TimePoint now = clock_.Now();
  if (!reader_ || reading_ || now < evidenceReadAt_ + period) {
    return;
  }
  evidenceReadAt_ = now;
  reading_ = true;
  reader_(
    [self = weak_from_this()](const std::vector<RolloutEvidence>& aEvidence) {
      if (const auto messenger = self.lock()) {
        messenger->OnOwnEvidence(aEvidence);
      }
    });
}

void RolloutMessenger::OnOwnEvidence(
  const std::vector<RolloutEvidence>& aEvidence)
{
  reading_ = false;
  std::vector<RolloutEvidence> own;
  for (const RolloutEvidence& evidence : aEvidence) {
    if (OrderProgress* progress = orders_.Find(evidence.order)) {
      progress->evidence.OnOwn(clock_.Now(), Self(), evidence);
      own.push_back(evidence);
    }
  }
  if (!own.empty()) {
    peers_.SendRollouts(RolloutReceivers::kSpeakers, own, {});
  }
}

void RolloutMessenger::CollectZone()
{
  const TimePoint now = clock_.Now();
  const std::vector<HostId> live = LiveHosts();
  zoneEvidence_.clear();
  for (auto& [service, progress] : orders_.All()) {
    zoneEvidence_.push_back(progress.evidence.Zone(now, live));
    progress.evidence.OnZone(
      now, identity_.self.zone, Self(), zoneEvidence_.back());
  }
}

void RolloutMessenger::Tick(bool aChanged)
{
  if (orders_.All().empty()) {
    return;
  }
  ReadEvidence();
  const TimePoint now = clock_.Now();
  if (peers_.IsSpeaker() && (aChanged || sentAt_ + kSendPeriod <= now)) {
    sentAt_ = now;
    const std::vector<RolloutDirective> all = Directives();
    peers_.SendRollouts(RolloutReceivers::kZone, {}, all);
    peers_.SendRollouts(RolloutReceivers::kOtherZones, zoneEvidence_, all);
  }
}

} // namespace lacewing
