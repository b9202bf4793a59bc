#include "fleet/PeerExchange.h"

#include "fleet/FarHosts.h"
#include "fleet/PeerCodec.h"
#include "fleet/PeerSocket.h"
#include "fleet/PeerTable.h"
#include "fleet/Speakers.h"
#include "fleet/ZoneTable.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace lacewing {

namespace {

// Digests between zones; those bytes are priced.
constexpr Duration kFarPeriod = std::chrono::milliseconds(500);
// Each time, digests go to all known hosts of other zones.
constexpr Duration kMeetPeriod = std::chrono::seconds(10);
// Seeds may start later than this host; each is asked until it answers.
constexpr Duration kSeedPatience = std::chrono::seconds(3);
constexpr Duration kForgetPeriod = std::chrono::seconds(5);
// Entries in one datagram, which stays below a packet of 1,500 bytes.
constexpr std::size_t kMembersPerBeat = 16;
constexpr std::size_t kReadingsPerBeat = 12;

} // namespace

struct PeerExchange::Impl
{
  const Clock& clock;
  const HostIdentity identity;
  const Events events;
  std::unique_ptr<PeerSocket> socket;
  PeerTable near;
  FarHosts far;
  ZoneTable zones;
  const TimePoint startedAt;
  /** Addresses of hosts that were heard while seeds are asked. */
  std::set<std::string> answered;
  TimePoint zoneBeatAt;
  TimePoint farBeatAt;
  TimePoint metAt;
  TimePoint forgottenAt;
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
  std::uint64_t refused = 0;

  Impl(const Clock& aClock, const HostIdentity& aIdentity, Events aEvents)
    : clock(aClock)
    , identity(aIdentity)
    , events(std::move(aEvents))
    , near(aIdentity.self)
    , zones(aClock.Now())
    , startedAt(aClock.Now())
    , metAt(aClock.Now())
  {
  }

  bool IsNear(const PeerAddress& aHost) const
  {
    return aHost.zone == identity.self.zone;
  }

  void Learn(const PeerAddress& aHost)
  {
    if (!IsNear(aHost)) {
      far.Learn(aHost);
      zones.Learn(aHost.zone);
    } else if (near.Learn(aHost, clock.Now())) {
      Send(aHost.ToEndpoint(), EncodeBeat(MakeBeat()));
    }
  }

  PeerBeat MakeBeat() const
  {
    const PeerState state = events.state();
    PeerBeat beat;
    beat.from = identity.self;
    beat.incarnation = identity.incarnation;
    beat.leaving = state.leaving;
    beat.storeOk = state.storeOk;
    beat.revisions = state.revisions;
    beat.confirmedAge = clock.Now() - state.confirmedAt;
    return beat;
  }

  void Send(const Endpoint& aTo, const std::string& aBytes)
  {
    ++sent;
    socket->Send(aTo, aBytes);
  }

  std::vector<OwnerCandidate> Candidates() const
  {
    return near.Candidates(clock.Now(), events.state().leaving);
  }

  bool Speaking() const
  {
    return !events.state().leaving && Speaks(identity.self.host, Candidates());
  }

  ZoneDigest OwnZone() const
  {
    const TimePoint now = clock.Now();
    ZoneDigest digest;
    digest.zone = identity.self.zone;
    digest.alive = static_cast<std::uint32_t>(Candidates().size());
    digest.silent = near.SilentHosts(now);
    digest.reachesStore = events.state().storeOk;
    for (const Peer* peer : near.Alive(now)) {
      digest.reachesStore |= peer->storeOk && !peer->leaving;
    }
    return digest;
  }

  /** Readings over as many datagrams as they need. */
  std::vector<std::string> EncodeZoneBeats(
    const std::vector<LoadReading>& aReadings) const
  {
    const TimePoint now = clock.Now();
    PeerBeat beat = MakeBeat();
    if (Speaking()) {
      beat.zones = zones.Fresh(now);
    }
    std::vector<std::string> datagrams;
    for (const LoadReading& reading : aReadings) {
      if (beat.readings.size() == kReadingsPerBeat) {
        datagrams.push_back(EncodeBeat(beat));
        beat.readings.clear();
      }
      beat.readings.push_back(WireReading::From(reading, now));
    }
    datagrams.push_back(EncodeBeat(beat));
    return datagrams;
  }

  void BeatZone(const std::vector<LoadReading>& aReadings)
  {
    zoneBeatAt = clock.Now();
    const std::vector<std::string> datagrams = EncodeZoneBeats(aReadings);
    for (const Peer* peer : near.Known()) {
      for (const std::string& datagram : datagrams) {
        Send(peer->address.ToEndpoint(), datagram);
      }
    }
  }

  void BeatFar()
  {
    const TimePoint now = clock.Now();
    farBeatAt = now;
    if (!Speaking()) {
      return;
    }
    const bool all = metAt + kMeetPeriod <= now;
    metAt = all ? now : metAt;
    PeerBeat beat = MakeBeat();
    beat.zones = { OwnZone() };
    const std::string datagram = EncodeBeat(beat);
    for (const PeerAddress& host : far.Recipients(now, all)) {
      Send(host.ToEndpoint(), datagram);
    }
  }

  void Tick(const std::vector<LoadReading>& aReadings)
  {
    const TimePoint now = clock.Now();
    GreetSeeds();
    if (zoneBeatAt + near.BeatPeriod() <= now) {
      BeatZone(aReadings);
    }
    if (farBeatAt + kFarPeriod <= now) {
      BeatFar();
    }
    if (forgottenAt + kForgetPeriod <= now) {
      forgottenAt = now;
      near.Forget(now);
    }
  }

  void OnDatagram(std::string_view aBytes)
  {
    const auto decoded = DecodeBeat(aBytes);
    if (!decoded) {
      ++refused;
      return;
    }
    ++received;
    const PeerBeat& beat = decoded.value();
    if (beat.from.host == identity.self.host) {
      return;
    }
    const TimePoint now = clock.Now();
    if (now <= startedAt + kSeedPatience) {
      answered.insert(beat.from.address);
    }
    for (const PeerAddress& member : beat.members) {
      OnMember(beat, member);
    }
    for (const ZoneDigest& digest : beat.zones) {
      if (digest.zone != identity.self.zone) {
        zones.Merge(digest, now);
      }
    }
    const bool news = IsNear(beat.from) && near.OnBeat(beat, now);
    if (!IsNear(beat.from)) {
      OnFarBeat(beat, now);
    }
    for (const WireReading& reading : beat.readings) {
      events.onReading(reading.ToReading(now));
    }
    if (beat.greeting) {
      AnswerGreeting(beat.from);
    }
    if (news) {
      events.onMembership();
    }
    events.onCatalog(beat);
  }

  void OnMember(const PeerBeat& aBeat, const PeerAddress& aMember)
  {
    Learn(aMember);
    // A host of another zone names its zone's speakers.
    if (!IsNear(aBeat.from) && !aBeat.greeting &&
        aMember.zone == aBeat.from.zone) {
      far.OnSpeaker(aMember, clock.Now());
    }
  }

  void OnFarBeat(const PeerBeat& aBeat, TimePoint aNow)
  {
    if (aBeat.zones.empty()) {
      far.Learn(aBeat.from);
      zones.Learn(aBeat.from.zone);
      return;
    }
    far.OnSpeaker(aBeat.from, aNow);
    if (!Speaking()) {
      NameSpeakers(aBeat.from);
    }
  }

  /** Tells a speaker of another zone who speaks for this one. */
  void NameSpeakers(const PeerAddress& aTo)
  {
    const std::vector<OwnerCandidate> hosts = Candidates();
    PeerBeat beat = MakeBeat();
    for (const Peer* peer : near.Alive(clock.Now())) {
      if (Speaks(peer->address.host, hosts)) {
        beat.members.push_back(peer->address);
      }
    }
    Send(aTo.ToEndpoint(), EncodeBeat(beat));
  }

  /** Tells a starting host of its zone's hosts and of others' speakers. */
  void AnswerGreeting(const PeerAddress& aTo)
  {
    std::vector<PeerAddress> members = far.Introductions(aTo.zone, clock.Now());
    for (const Peer* peer : near.Alive(clock.Now())) {
      members.push_back(peer->address);
    }
    PeerBeat beat = MakeBeat();
    for (const PeerAddress& member : members) {
      if (member.host == aTo.host) {
        continue;
      }
      if (beat.members.size() == kMembersPerBeat) {
        Send(aTo.ToEndpoint(), EncodeBeat(beat));
        beat.members.clear();
      }
      beat.members.push_back(member);
    }
    Send(aTo.ToEndpoint(), EncodeBeat(beat));
  }

  /** Asks each seed that has not answered yet. */
  void GreetSeeds()
  {
    const TimePoint now = clock.Now();
    if (now > startedAt + kSeedPatience) {
      return;
    }
    for (const Endpoint& seed : identity.seeds) {
      if (answered.count(seed.address) == 0) {
        PeerBeat beat = MakeBeat();
        beat.greeting = true;
        Send(seed, EncodeBeat(beat));
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

bool PeerExchange::HasHeard() const
{
  return impl_->received > 0;
}

void PeerExchange::Tick(const std::vector<LoadReading>& aOwnReadings)
{
  impl_->Tick(aOwnReadings);
}

void PeerExchange::BeatZone(const std::vector<LoadReading>& aOwnReadings)
{
  impl_->BeatZone(aOwnReadings);
}

void PeerExchange::BeatFar()
{
  impl_->BeatFar();
}

std::vector<OwnerCandidate> PeerExchange::Candidates() const
{
  return impl_->Candidates();
}

std::vector<const Peer*> PeerExchange::Alive() const
{
  return impl_->near.Alive(impl_->clock.Now());
}

std::vector<ZoneId> PeerExchange::AliveZones() const
{
  std::vector<ZoneId> alive = impl_->zones.Alive(impl_->clock.Now());
  if (!Candidates().empty()) {
    alive.push_back(impl_->identity.self.zone);
  }
  return alive;
}

std::vector<ZoneId> PeerExchange::ZonesReachingStore() const
{
  std::vector<ZoneId> reaching;
  for (const ZoneDigest& digest : impl_->zones.Fresh(impl_->clock.Now())) {
    if (digest.reachesStore && digest.alive > 0) {
      reaching.push_back(digest.zone);
    }
  }
  return reaching;
}

unsigned PeerExchange::HostCount() const
{
  std::size_t hosts = Candidates().size();
  for (const ZoneDigest& digest : impl_->zones.Fresh(impl_->clock.Now())) {
    hosts += digest.alive;
  }
  return static_cast<unsigned>(std::max<std::size_t>(hosts, 1));
}

unsigned PeerExchange::SilentHosts() const
{
  const TimePoint now = impl_->clock.Now();
  return impl_->near.SilentHosts(now) + impl_->zones.SilentHosts(now);
}

bool PeerExchange::Speaking() const
{
  return impl_->Speaking();
}

std::uint64_t PeerExchange::Sent() const
{
  return impl_->sent;
}

std::uint64_t PeerExchange::Received() const
{
  return impl_->received;
}

std::uint64_t PeerExchange::Refused() const
{
  return impl_->refused;
}

} // namespace lacewing
