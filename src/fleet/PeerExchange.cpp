#include "fleet/PeerExchange.h"

#include "fleet/PeerCodec.h"
#include "fleet/PeerSocket.h"
#include "fleet/PeerTable.h"
#include "fleet/RemoteZoneHosts.h"
#include "fleet/RolloutDatagrams.h"
#include "fleet/Speakers.h"
#include "fleet/ZoneLoadRelay.h"
#include "fleet/ZoneTable.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace lacewing {

namespace {

// Period of digests between zones, kept long because traffic between zones is
// charged.
constexpr Duration kDigestPeriod = std::chrono::milliseconds(500);
// A zone of which two digests in a row are missing does not count as watching
// the store. This is sooner than it loses its tasks (ZoneTable), since a change
// must be in force 2 s after its acknowledgement; a watcher too many costs some
// calls to the store. Within a zone, digests come with heartbeats.
constexpr Duration kMissingDigests = 2 * kDigestPeriod;
constexpr Duration kDigestDelay = std::chrono::milliseconds(200);
// Period of digests that go to all known hosts of other zones.
constexpr Duration kFullDigestPeriod = std::chrono::seconds(10);
// Seeds may start later than this host. Each is contacted until it responds or
// this time is over.
constexpr Duration kSeedTimeout = std::chrono::seconds(3);
constexpr Duration kForgetPeriod = std::chrono::seconds(5);
// Number of entries in one datagram, so that it stays below a packet of 1,500
// bytes.
constexpr std::size_t kMembersPerHeartbeat = 16;
constexpr std::size_t kReadingsPerHeartbeat = 12;

} // namespace

struct PeerExchange::Impl
{
  const Clock& clock;
  const HostIdentity identity;
  const Events events;
  std::unique_ptr<PeerSocket> socket;
  PeerTable zonePeers;
  RemoteZoneHosts remoteHosts;
  ZoneTable zones;
  ZoneLoadRelay zoneLoads;
  const TimePoint startedAt;
  /**
   * Addresses from which heartbeats were received while seeds are contacted.
   */
  std::set<std::string> respondedSeeds;
  TimePoint zoneHeartbeatAt;
  TimePoint digestSentAt;
  TimePoint fullDigestAt;
  TimePoint lastForgetAt;
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
  std::uint64_t decodeErrors = 0;

  Impl(const Clock& aClock, const HostIdentity& aIdentity, Events aEvents)
    : clock(aClock)
    , identity(aIdentity)
    , events(std::move(aEvents))
    , zonePeers(aIdentity.self)
    , zones(aClock.Now())
    , startedAt(aClock.Now())
    , fullDigestAt(aClock.Now())
  {
  }

  bool IsInOwnZone(const PeerAddress& aHost) const
  {
    return aHost.zone == identity.self.zone;
  }

  void Learn(const PeerAddress& aHost)
  {
    if (!IsInOwnZone(aHost)) {
      remoteHosts.Learn(aHost);
      zones.Learn(aHost.zone);
    } else if (zonePeers.Learn(aHost, clock.Now())) {
      Send(aHost.ToEndpoint(), EncodeHeartbeat(MakeHeartbeat()));
    }
  }

  PeerHeartbeat MakeHeartbeat() const
  {
    const PeerState state = events.state();
    PeerHeartbeat heartbeat;
    heartbeat.from = identity.self;
    heartbeat.incarnation = identity.incarnation;
    heartbeat.leaving = state.leaving;
    heartbeat.storeOk = state.storeOk;
    heartbeat.positions = state.positions;
    heartbeat.confirmedAge = clock.Now() - state.confirmedAt;
    return heartbeat;
  }

  void Send(const Endpoint& aTo, const std::string& aBytes)
  {
    ++sent;
    socket->Send(aTo, aBytes);
  }

  std::vector<OwnerCandidate> Candidates() const
  {
    return zonePeers.Candidates(clock.Now(), events.state().leaving);
  }

  bool IsSpeaker() const
  {
    return !events.state().leaving &&
           IsZoneSpeaker(identity.self.host, Candidates());
  }

  /** The speakers of this zone. */
  std::vector<HostAddress> OwnSpeakers() const
  {
    const std::set<HostId> hosts = SpeakersOf(Candidates());
    std::vector<HostAddress> speakers;
    if (hosts.count(identity.self.host) > 0) {
      speakers.push_back({ identity.self.host, identity.self.address });
    }
    for (const Peer* peer : zonePeers.Alive(clock.Now())) {
      if (hosts.count(peer->address.host) > 0) {
        speakers.push_back({ peer->address.host, peer->address.address });
      }
    }
    return speakers;
  }

  ZoneDigest OwnZoneDigest() const
  {
    const TimePoint now = clock.Now();
    ZoneDigest digest;
    digest.zone = identity.self.zone;
    digest.alive = static_cast<std::uint32_t>(Candidates().size());
    digest.unresponsive = zonePeers.UnresponsiveHosts(now);
    digest.reachesStore = events.state().storeOk;
    for (const Peer* peer : zonePeers.Alive(now)) {
      digest.reachesStore |= peer->storeOk && !peer->leaving;
    }
    if (events.state().namesSpeakers) {
      digest.speakers = OwnSpeakers();
    }
    return digest;
  }

  /**
   * Encodes the state and readings of this host into as many datagrams as
   * needed.
   */
  std::vector<std::string> EncodeZoneHeartbeats(
    const std::vector<LoadReading>& aReadings)
  {
    const TimePoint now = clock.Now();
    PeerHeartbeat heartbeat = MakeHeartbeat();
    if (IsSpeaker()) {
      heartbeat.zones = zones.Fresh(now);
    }
    std::vector<std::string> datagrams;
    for (const LoadReading& reading : aReadings) {
      if (heartbeat.readings.size() == kReadingsPerHeartbeat) {
        datagrams.push_back(EncodeHeartbeat(heartbeat));
        heartbeat.readings.clear();
      }
      heartbeat.readings.push_back(WireReading::From(reading, now));
    }
    for (auto& page : zoneLoads.ForwardPages(heartbeat.zones, now)) {
      heartbeat.zones = std::move(page);
      datagrams.push_back(EncodeHeartbeat(heartbeat));
      heartbeat.readings.clear();
    }
    return datagrams;
  }

  void SendZoneHeartbeats(const std::vector<LoadReading>& aReadings)
  {
    zoneHeartbeatAt = clock.Now();
    const std::vector<std::string> datagrams = EncodeZoneHeartbeats(aReadings);
    for (const Peer* peer : zonePeers.Known()) {
      for (const std::string& datagram : datagrams) {
        Send(peer->address.ToEndpoint(), datagram);
      }
    }
  }

  void SendZoneDigest()
  {
    const TimePoint now = clock.Now();
    digestSentAt = now;
    if (!IsSpeaker()) {
      return;
    }
    const bool all = fullDigestAt + kFullDigestPeriod <= now;
    fullDigestAt = all ? now : fullDigestAt;
    PeerHeartbeat heartbeat = MakeHeartbeat();
    const auto hosts = remoteHosts.Recipients(now, all);
    for (auto& page : zoneLoads.OwnPages(OwnZoneDigest(), now)) {
      heartbeat.zones = std::move(page);
      const std::string datagram = EncodeHeartbeat(heartbeat);
      for (const PeerAddress& host : hosts) {
        Send(host.ToEndpoint(), datagram);
      }
    }
  }

  void Tick(const std::vector<LoadReading>& aReadings)
  {
    const TimePoint now = clock.Now();
    GreetSeeds();
    if (zoneHeartbeatAt + zonePeers.HeartbeatPeriod() <= now) {
      SendZoneHeartbeats(aReadings);
    }
    if (digestSentAt + kDigestPeriod <= now) {
      SendZoneDigest();
    }
    if (lastForgetAt + kForgetPeriod <= now) {
      lastForgetAt = now;
      zonePeers.Forget(now);
    }
  }

  void OnDatagram(std::string_view aBytes)
  {
    const auto decoded = DecodeHeartbeat(aBytes);
    if (!decoded) {
      ++decodeErrors;
      return;
    }
    ++received;
    const PeerHeartbeat& heartbeat = decoded.value();
    if (heartbeat.from.host == identity.self.host) {
      return;
    }
    const TimePoint now = clock.Now();
    if (now <= startedAt + kSeedTimeout) {
      respondedSeeds.insert(heartbeat.from.address);
    }
    for (const PeerAddress& member : heartbeat.members) {
      OnMember(heartbeat, member);
    }
    for (const ZoneDigest& digest : heartbeat.zones) {
      if (digest.zone != identity.self.zone) {
        zones.Merge(digest, now);
        zoneLoads.Merge(digest, now);
      }
    }
    const bool changed =
      IsInOwnZone(heartbeat.from) && zonePeers.OnHeartbeat(heartbeat, now);
    if (!IsInOwnZone(heartbeat.from)) {
      OnRemoteZoneHeartbeat(heartbeat, now);
    }
    for (const WireReading& reading : heartbeat.readings) {
      events.onReading(reading.ToReading(now));
    }
    if (heartbeat.greeting) {
      RespondToGreeting(heartbeat.from);
    }
    if (changed) {
      events.onMembership();
    }
    events.onCatalog(heartbeat);
    if (events.onRollout &&
        (!heartbeat.evidence.empty() || !heartbeat.directives.empty())) {
      events.onRollout(heartbeat);
    }
  }

  /** Where messages about rollouts go. */
  std::vector<Endpoint> EndpointsOf(RolloutReceivers aReceivers) const
  {
    std::vector<Endpoint> endpoints;
    if (aReceivers == RolloutReceivers::kOtherZones) {
      for (const PeerAddress& host :
           remoteHosts.Recipients(clock.Now(), false)) {
        endpoints.push_back(host.ToEndpoint());
      }
      return endpoints;
    }
    const std::vector<OwnerCandidate> hosts = Candidates();
    for (const Peer* peer : zonePeers.Alive(clock.Now())) {
      if (aReceivers == RolloutReceivers::kZone ||
          IsZoneSpeaker(peer->address.host, hosts)) {
        endpoints.push_back(peer->address.ToEndpoint());
      }
    }
    return endpoints;
  }

  void SendRollouts(RolloutReceivers aReceivers,
                    const std::vector<RolloutEvidence>& aEvidence,
                    const std::vector<RolloutDirective>& aDirectives)
  {
    PeerHeartbeat heartbeat = MakeHeartbeat();
    if (aReceivers == RolloutReceivers::kOtherZones) {
      heartbeat.zones = { OwnZoneDigest() };
    }
    const std::vector<std::string> datagrams =
      EncodeRollouts(heartbeat, aEvidence, aDirectives);
    for (const Endpoint& endpoint : EndpointsOf(aReceivers)) {
      for (const std::string& datagram : datagrams) {
        Send(endpoint, datagram);
      }
    }
  }

  void OnMember(const PeerHeartbeat& aHeartbeat, const PeerAddress& aMember)
  {
    Learn(aMember);
    // A host of another zone reports the speakers of its zone.
    if (!IsInOwnZone(aHeartbeat.from) && !aHeartbeat.greeting &&
        aMember.zone == aHeartbeat.from.zone) {
      remoteHosts.OnSpeaker(aMember, clock.Now());
    }
  }

  void OnRemoteZoneHeartbeat(const PeerHeartbeat& aHeartbeat, TimePoint aNow)
  {
    if (aHeartbeat.zones.empty()) {
      remoteHosts.Learn(aHeartbeat.from);
      zones.Learn(aHeartbeat.from.zone);
      return;
    }
    remoteHosts.OnSpeaker(aHeartbeat.from, aNow);
    if (!IsSpeaker()) {
      SendSpeakers(aHeartbeat.from);
    }
  }

  /** Sends the speakers of this zone to a speaker of another zone. */
  void SendSpeakers(const PeerAddress& aTo)
  {
    const std::vector<OwnerCandidate> hosts = Candidates();
    PeerHeartbeat heartbeat = MakeHeartbeat();
    for (const Peer* peer : zonePeers.Alive(clock.Now())) {
      if (IsZoneSpeaker(peer->address.host, hosts)) {
        heartbeat.members.push_back(peer->address);
      }
    }
    Send(aTo.ToEndpoint(), EncodeHeartbeat(heartbeat));
  }

  /**
   * Sends to a starting host the known hosts of its zone and the speakers of
   * the other zones.
   */
  void RespondToGreeting(const PeerAddress& aTo)
  {
    std::vector<PeerAddress> members =
      remoteHosts.HostsToIntroduce(aTo.zone, clock.Now());
    for (const Peer* peer : zonePeers.Alive(clock.Now())) {
      members.push_back(peer->address);
    }
    PeerHeartbeat heartbeat = MakeHeartbeat();
    for (const PeerAddress& member : members) {
      if (member.host == aTo.host) {
        continue;
      }
      if (heartbeat.members.size() == kMembersPerHeartbeat) {
        Send(aTo.ToEndpoint(), EncodeHeartbeat(heartbeat));
        heartbeat.members.clear();
      }
      heartbeat.members.push_back(member);
    }
    Send(aTo.ToEndpoint(), EncodeHeartbeat(heartbeat));
  }

  /** Sends a greeting to each seed that has not responded yet. */
  void GreetSeeds()
  {
    const TimePoint now = clock.Now();
    if (now > startedAt + kSeedTimeout) {
      return;
    }
    for (const Endpoint& seed : identity.seeds) {
      if (respondedSeeds.count(seed.address) == 0) {
        PeerHeartbeat heartbeat = MakeHeartbeat();
        heartbeat.greeting = true;
        Send(seed, EncodeHeartbeat(heartbeat));
      }
    }
  }
};

PeerExchange::PeerExchange(std::unique_ptr<Impl> aImpl)
  : impl_(std::move(aImpl))
{
}

PeerExchange::~PeerExchange() = default;

Outcome<std::unique_ptr<PeerExchange>> PeerExchange::Make(
  asio::io_context& aContext,
  const Clock& aClock,
  const HostIdentity& aIdentity,
  Events aEvents)
{
  auto impl = std::make_unique<Impl>(aClock, aIdentity, std::move(aEvents));
  BOOST_OUTCOME_TRY(
    impl->socket,
    PeerSocket::Make(aContext,
                     aIdentity.self.ToEndpoint(),
                     [impl = impl.get()](std::string_view aBytes) {
                       impl->OnDatagram(aBytes);
                     }));
  return std::unique_ptr<PeerExchange>(new PeerExchange(std::move(impl)));
}

void PeerExchange::Learn(const std::vector<PeerAddress>& aHosts)
{
  for (const PeerAddress& host : aHosts) {
    impl_->Learn(host);
  }
}

std::vector<HostRestart> PeerExchange::TakeRestarts()
{
  return impl_->zonePeers.TakeRestarts();
}

bool PeerExchange::HasReceived() const
{
  return impl_->received > 0;
}

void PeerExchange::Tick(const std::vector<LoadReading>& aOwnReadings)
{
  impl_->Tick(aOwnReadings);
}

void PeerExchange::SendZoneHeartbeats(
  const std::vector<LoadReading>& aOwnReadings)
{
  impl_->SendZoneHeartbeats(aOwnReadings);
}

void PeerExchange::SendZoneDigest()
{
  impl_->SendZoneDigest();
}

std::vector<OwnerCandidate> PeerExchange::Candidates() const
{
  return impl_->Candidates();
}

std::vector<ZoneSpeakers> PeerExchange::SpeakersByZone() const
{
  std::vector<ZoneSpeakers> zones{ { impl_->identity.self.zone,
                                     impl_->OwnSpeakers() } };
  for (const ZoneDigest& digest : impl_->zones.Fresh(impl_->clock.Now())) {
    zones.push_back({ digest.zone, digest.speakers });
  }
  return zones;
}

std::vector<const Peer*> PeerExchange::Alive() const
{
  return impl_->zonePeers.Alive(impl_->clock.Now());
}

std::vector<ZoneId> PeerExchange::AliveZones() const
{
  std::vector<ZoneId> alive = impl_->zones.Alive(impl_->clock.Now());
  if (!Candidates().empty()) {
    alive.push_back(impl_->identity.self.zone);
  }
  return alive;
}

std::map<ZoneId, unsigned> PeerExchange::HostsByZone() const
{
  std::map<ZoneId, unsigned> hosts;
  for (const ZoneId& zone : AliveZones()) {
    hosts[zone] = 0;
  }
  for (const ZoneDigest& digest : impl_->zones.Fresh(impl_->clock.Now())) {
    if (const auto zone = hosts.find(digest.zone); zone != hosts.end()) {
      zone->second = digest.alive;
    }
  }
  if (const auto own = hosts.find(impl_->identity.self.zone);
      own != hosts.end()) {
    own->second = static_cast<unsigned>(Candidates().size());
  }
  return hosts;
}

std::vector<HostId> PeerExchange::Speakers() const
{
  const std::vector<OwnerCandidate> hosts = Candidates();
  std::vector<HostId> speakers;
  for (const OwnerCandidate& host : hosts) {
    if (IsZoneSpeaker(host.host, hosts)) {
      speakers.push_back(host.host);
    }
  }
  return speakers;
}

void PeerExchange::SendRollouts(
  RolloutReceivers aReceivers,
  const std::vector<RolloutEvidence>& aEvidence,
  const std::vector<RolloutDirective>& aDirectives)
{
  impl_->SendRollouts(aReceivers, aEvidence, aDirectives);
}

std::vector<ZoneId> PeerExchange::ZonesReachingStore() const
{
  const Duration maxAge =
    kMissingDigests + impl_->zonePeers.HeartbeatPeriod() + kDigestDelay;
  std::vector<ZoneId> reaching;
  for (const ZoneDigest& digest : impl_->zones.Fresh(impl_->clock.Now())) {
    if (digest.reachesStore && digest.alive > 0 && digest.age < maxAge) {
      reaching.push_back(digest.zone);
    }
  }
  return reaching;
}

void PeerExchange::EnableZoneLoads()
{
  impl_->zoneLoads.Enable();
}

void PeerExchange::SetZoneLoads(const std::vector<ZoneLoad>& aLoads)
{
  impl_->zoneLoads.SetOwn(aLoads, impl_->clock.Now());
}

std::vector<ZoneReport> PeerExchange::ZoneLoads() const
{
  return impl_->zoneLoads.Received(impl_->clock.Now());
}

unsigned PeerExchange::HostCount() const
{
  std::size_t hosts = Candidates().size();
  for (const ZoneDigest& digest : impl_->zones.Fresh(impl_->clock.Now())) {
    hosts += digest.alive;
  }
  return static_cast<unsigned>(std::max<std::size_t>(hosts, 1));
}

unsigned PeerExchange::UnresponsiveHosts() const
{
  const TimePoint now = impl_->clock.Now();
  return impl_->zonePeers.UnresponsiveHosts(now) +
         impl_->zones.UnresponsiveHosts(now);
}

Duration PeerExchange::HeartbeatPeriod() const
{
  return impl_->zonePeers.HeartbeatPeriod();
}

TimePoint PeerExchange::LastJoin() const
{
  return impl_->zonePeers.LastJoin();
}

bool PeerExchange::IsSpeaker() const
{
  return impl_->IsSpeaker();
}

std::uint64_t PeerExchange::Sent() const
{
  return impl_->sent;
}

std::uint64_t PeerExchange::Received() const
{
  return impl_->received;
}

std::uint64_t PeerExchange::DecodeErrors() const
{
  return impl_->decodeErrors;
}

} // namespace lacewing
