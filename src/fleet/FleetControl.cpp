#include "fleet/FleetControl.h"

#include "balance/ColdQuota.h"
#include "balance/TargetOwner.h"
#include "balance/Watchers.h"
#include "core/Log.h"
#include "fleet/CatalogPuller.h"
#include "fleet/CatalogView.h"
#include "fleet/LoadBoard.h"
#include "fleet/PeerCodec.h"
#include "fleet/PeerSocket.h"
#include "fleet/PeerTable.h"
#include "fleet/Prober.h"
#include "metrics/MetricsPage.h"

#include <asio/steady_timer.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace lacewing {

namespace {

// The control thread's step.
constexpr Duration kTick = std::chrono::milliseconds(100);
// Targets are probed on one step and told to the zone on the next: readings
// only say where to look, since each choice asks the targets themselves.
constexpr unsigned kProbeTicks = 2;
// Beats between zones carry no readings and are rare: those bytes are priced.
constexpr unsigned kFarBeatTicks = 5;
// A starting host waits this long for peers before it asks the store itself.
constexpr Duration kSettle = std::chrono::milliseconds(400);
// A host that could not reach the store is not chosen to watch it again until
// then, unless none could.
constexpr Duration kStoreDistrust = std::chrono::seconds(8);
// A restarted host may have used up a cold target's quota just before.
constexpr Duration kColdPause = std::chrono::milliseconds(1200);
// Without readings of most targets a host counts as ready after this time.
constexpr Duration kReadyPatience = std::chrono::milliseconds(1500);
// Members in one datagram, which stays below a packet of 1,500 bytes.
constexpr std::size_t kMembersPerBeat = 16;
constexpr std::size_t kReadingsPerBeat = 12;
constexpr Duration kRegisterRetry = std::chrono::seconds(1);
constexpr Duration kForgetPeriod = std::chrono::seconds(10);

} // namespace

struct FleetControl::Impl : std::enable_shared_from_this<Impl>
{
  asio::io_context& context;
  const Clock& clock;
  const HostIdentity identity;
  FleetTerms terms;
  CatalogSource& source;
  SnapshotCell<FleetSnapshot>& fleetCell;
  asio::steady_timer tick;
  asio::steady_timer registerTimer;
  std::unique_ptr<PeerSocket> socket;
  PeerTable peers;
  CatalogReplica replica;
  CatalogView view;
  LoadBoard board;
  Prober prober;
  CatalogPuller puller;
  std::map<TargetId, LoadReading> ownReadings;
  std::map<TargetId, Incarnation> known;
  std::shared_ptr<const FleetSnapshot> published;
  const TimePoint startedAt;
  TimePoint configuredAt;
  TimePoint confirmedAt;
  TimePoint distrustUntil;
  TimePoint forgottenAt;
  std::string membership;
  unsigned ticks = 0;
  WatchRole role = WatchRole::kNone;
  bool storeOk = true;
  bool leaving = false;
  bool registered = false;
  bool coldPauseOver = false;
  std::uint64_t beatsSent = 0;
  std::uint64_t beatsReceived = 0;
  std::uint64_t beatsRefused = 0;

  Impl(asio::io_context& aContext,
       const Clock& aClock,
       const HostIdentity& aIdentity,
       const FleetTerms& aTerms,
       const CatalogDecoder& aDecoder,
       CatalogSource& aSource,
       SnapshotCell<FleetSnapshot>& aFleet,
       SnapshotCell<LoadSnapshot>& aLoad)
    : context(aContext)
    , clock(aClock)
    , identity(aIdentity)
    , terms(aTerms)
    , source(aSource)
    , fleetCell(aFleet)
    , tick(aContext)
    , registerTimer(aContext)
    , peers(aIdentity.self)
    , view(aDecoder)
    , board(aLoad)
    , prober(aContext,
             aClock,
             aTerms.names,
             [this](const LoadReading& aReading) { OnProbed(aReading); })
    , puller(aContext,
             aClock,
             [this](const CatalogPull& aPull) { OnPulled(aPull); })
    , published(aFleet.Get())
    , startedAt(aClock.Now())
  {
  }

  Outcome<void> Start()
  {
    BOOST_OUTCOME_TRY(socket,
                      PeerSocket::Make(context,
                                       identity.self.ToEndpoint(),
                                       [this](std::string_view aBytes) {
                                         OnDatagram(aBytes);
                                       }));
    CatalogSource::Events events;
    events.onChanges = [this](CatalogKind aKind,
                              const CatalogChanges& aChanges) {
      OnStoreChanges(aKind, aChanges);
    };
    events.onReachable = [this](bool aReachable) { OnReachable(aReachable); };
    source.SetEvents(std::move(events));
    if (identity.firstStart) {
      Register();
    } else {
      ListHosts();
    }
    GreetSeeds();
    ScheduleTick();
    return outcome::success();
  }

  // Finding peers.

  void Register()
  {
    source.RegisterHost(identity.self,
                        [self = weak_from_this()](const Outcome<void>& aDone) {
                          if (const auto impl = self.lock()) {
                            impl->OnRegistered(aDone);
                          }
                        });
  }

  void OnRegistered(const Outcome<void>& aDone)
  {
    if (!aDone) {
      Log(LogLevel::kWarning,
          "register",
          { { "error", aDone.error().ToString() } });
      RetryLater(&Impl::Register);
      return;
    }
    registered = true;
    ListHosts();
  }

  void RetryLater(void (Impl::*aStep)())
  {
    registerTimer.expires_after(kRegisterRetry);
    registerTimer.async_wait(
      [self = weak_from_this(), aStep](const asio::error_code& aError) {
        const auto impl = self.lock();
        if (!aError && impl) {
          ((*impl).*aStep)();
        }
      });
  }

  void ListHosts()
  {
    source.ListHosts([self = weak_from_this()](
                       const Outcome<std::vector<PeerAddress>>& aHosts) {
      if (const auto impl = self.lock()) {
        impl->OnHosts(aHosts);
      }
    });
  }

  void OnHosts(const Outcome<std::vector<PeerAddress>>& aHosts)
  {
    if (!aHosts) {
      Log(LogLevel::kWarning,
          "list-hosts",
          { { "error", aHosts.error().ToString() } });
      RetryLater(&Impl::ListHosts);
      return;
    }
    bool selfListed = false;
    for (const PeerAddress& host : aHosts.value()) {
      selfListed |= host.host == identity.self.host &&
                    host.address == identity.self.address &&
                    host.port == identity.self.port;
      peers.Learn(host);
    }
    Log(LogLevel::kInfo,
        "list-hosts",
        { { "hosts", std::to_string(aHosts.value().size()) } });
    for (const Peer* peer : peers.Known()) {
      SendBeat(peer->address.ToEndpoint(), true, {});
    }
    if (!selfListed && !registered) {
      Register();
    }
  }

  void GreetSeeds()
  {
    for (const Endpoint& seed : identity.seeds) {
      SendBeat(seed, true, {});
    }
  }

  // Beats.

  PeerBeat MakeBeat(bool aGreeting) const
  {
    PeerBeat beat;
    beat.from = identity.self;
    beat.incarnation = identity.incarnation;
    beat.greeting = aGreeting;
    beat.leaving = leaving;
    beat.storeOk = storeOk;
    beat.revisions = Revisions();
    beat.confirmedAge = clock.Now() - confirmedAt;
    return beat;
  }

  std::vector<Revision> Revisions() const
  {
    std::vector<Revision> revisions;
    for (const CatalogKind kind : kCatalogKinds) {
      revisions.push_back(replica.RevisionOf(kind));
    }
    return revisions;
  }

  void SendBeat(const Endpoint& aTo,
                bool aGreeting,
                std::vector<PeerAddress> aMembers)
  {
    PeerBeat beat = MakeBeat(aGreeting);
    beat.members = std::move(aMembers);
    ++beatsSent;
    socket->Send(aTo, EncodeBeat(beat));
  }

  /** One or more datagrams with this host's own readings. */
  std::vector<std::string> EncodeReadings() const
  {
    const TimePoint now = clock.Now();
    std::vector<std::string> datagrams;
    PeerBeat beat = MakeBeat(false);
    for (const auto& [target, reading] : ownReadings) {
      if (beat.readings.size() == kReadingsPerBeat) {
        datagrams.push_back(EncodeBeat(beat));
        beat.readings.clear();
      }
      beat.readings.push_back(WireReading::From(reading, now));
    }
    datagrams.push_back(EncodeBeat(beat));
    return datagrams;
  }

  /** Readings go to the hosts of the zone. */
  void BeatZone()
  {
    const std::vector<std::string> datagrams = EncodeReadings();
    for (const Peer* peer : peers.Known()) {
      if (peer->address.zone == identity.self.zone) {
        for (const std::string& datagram : datagrams) {
          ++beatsSent;
          socket->Send(peer->address.ToEndpoint(), datagram);
        }
      }
    }
  }

  void BeatFar()
  {
    const std::string datagram = EncodeBeat(MakeBeat(false));
    for (const Peer* peer : peers.Known()) {
      if (peer->address.zone != identity.self.zone) {
        ++beatsSent;
        socket->Send(peer->address.ToEndpoint(), datagram);
      }
    }
  }

  void BeatAll()
  {
    BeatZone();
    BeatFar();
  }

  void OnDatagram(std::string_view aBytes)
  {
    const auto decoded = DecodeBeat(aBytes);
    if (!decoded) {
      ++beatsRefused;
      return;
    }
    ++beatsReceived;
    const PeerBeat& beat = decoded.value();
    const TimePoint now = clock.Now();
    const bool news = peers.OnBeat(beat, now);
    for (const PeerAddress& member : beat.members) {
      if (peers.Learn(member)) {
        SendBeat(member.ToEndpoint(), true, {});
      }
    }
    for (const WireReading& reading : beat.readings) {
      if (known.count(reading.target) != 0) {
        board.Offer(reading.ToReading(now));
      }
    }
    board.Publish();
    if (beat.greeting) {
      AnswerGreeting(beat.from);
    }
    if (news) {
      OnMembership();
    }
    OnPeerRevisions(beat, now);
  }

  void AnswerGreeting(const PeerAddress& aTo)
  {
    std::vector<PeerAddress> members;
    for (const Peer* peer : peers.Alive(clock.Now())) {
      if (peer->address.host == aTo.host) {
        continue;
      }
      members.push_back(peer->address);
      if (members.size() == kMembersPerBeat) {
        SendBeat(aTo.ToEndpoint(), false, std::exchange(members, {}));
      }
    }
    SendBeat(aTo.ToEndpoint(), false, std::move(members));
  }

  // The catalog.

  bool IsAhead(const std::vector<Revision>& aRevisions) const
  {
    for (const CatalogKind kind : kCatalogKinds) {
      if (IndexOf(kind) < aRevisions.size() &&
          aRevisions[IndexOf(kind)] > replica.RevisionOf(kind)) {
        return true;
      }
    }
    return false;
  }

  bool IsBehind(const std::vector<Revision>& aRevisions) const
  {
    for (const CatalogKind kind : kCatalogKinds) {
      if (IndexOf(kind) >= aRevisions.size() ||
          aRevisions[IndexOf(kind)] < replica.RevisionOf(kind)) {
        return true;
      }
    }
    return false;
  }

  void OnPeerRevisions(const PeerBeat& aBeat, TimePoint aNow)
  {
    if (!IsAhead(aBeat.revisions)) {
      if (!IsBehind(aBeat.revisions)) {
        confirmedAt = std::max(confirmedAt, aNow - aBeat.confirmedAge);
      }
      return;
    }
    // One host of a zone pulls from other zones and the rest from it, because
    // bytes between zones are priced; the tick catches up where that fails.
    if (aBeat.from.zone == identity.self.zone || LeadsZone()) {
      puller.Pull(aBeat.from.ToEndpoint(), Revisions());
    }
  }

  bool LeadsZone() const
  {
    std::vector<OwnerCandidate> zone;
    for (const OwnerCandidate& host : peers.Candidates(clock.Now(), leaving)) {
      if (host.zone == identity.self.zone) {
        zone.push_back(host);
      }
    }
    return IsAmongHighest(identity.self.host, zone, "pull", 1);
  }

  void CatchUp()
  {
    for (const Peer* peer : peers.Alive(clock.Now())) {
      if (IsAhead(peer->revisions)) {
        puller.Pull(peer->address.ToEndpoint(), Revisions());
        return;
      }
    }
  }

  void OnPulled(const CatalogPull& aPull)
  {
    const std::vector<Revision> before = Revisions();
    bool changed = false;
    for (const CatalogKind kind : kCatalogKinds) {
      changed |= replica.Apply(kind, aPull.parts[IndexOf(kind)]);
    }
    OnCatalog(changed, before);
    source.NoteRevisions(Revisions());
  }

  void OnStoreChanges(CatalogKind aKind, const CatalogChanges& aChanges)
  {
    confirmedAt = clock.Now();
    const std::vector<Revision> before = Revisions();
    OnCatalog(replica.Apply(aKind, aChanges), before);
  }

  void OnCatalog(bool aChanged, const std::vector<Revision>& aBefore)
  {
    if (aChanged) {
      view.Update(replica);
      Rebuild();
      BeatAll();
    } else if (Revisions() != aBefore) {
      BeatZone();
    }
  }

  void OnReachable(bool aReachable)
  {
    storeOk = aReachable;
    Log(aReachable ? LogLevel::kInfo : LogLevel::kWarning,
        "store",
        { { "is", aReachable ? "regained" : "lost" } });
    if (!aReachable) {
      distrustUntil = clock.Now() + kStoreDistrust;
    }
    BeatAll();
    Elect();
  }

  /** Decides whether this host watches the store. */
  void Elect()
  {
    const TimePoint now = clock.Now();
    if (now < startedAt + kSettle) {
      return;
    }
    if (!storeOk && role == WatchRole::kNone && now >= distrustUntil) {
      storeOk = true;
    }
    std::vector<OwnerCandidate> all = peers.Candidates(now, leaving);
    std::vector<OwnerCandidate> reaching;
    if (storeOk && !leaving) {
      reaching.push_back({ identity.self.host, identity.self.zone });
    }
    for (const Peer* peer : peers.Alive(now)) {
      if (peer->storeOk && !peer->leaving) {
        reaching.push_back({ peer->address.host, peer->address.zone });
      }
    }
    const bool mayWatch = !leaving && (reaching.empty() || storeOk);
    const WatchRole wanted =
      mayWatch
        ? WatchRoleOf(identity.self.host, reaching.empty() ? all : reaching)
        : WatchRole::kNone;
    if (wanted != role) {
      role = wanted;
      Log(LogLevel::kInfo, "watch", { { "role", ToString(role) } });
      source.Follow(role, Revisions());
    }
  }

  // Targets.

  void OnMembership()
  {
    std::string now;
    for (const OwnerCandidate& host : peers.Candidates(clock.Now(), leaving)) {
      now += host.host.value() + ' ';
    }
    if (now != membership) {
      membership = std::move(now);
      Log(LogLevel::kInfo, "members", { { "alive", membership } });
      Rebuild();
    }
    Elect();
  }

  void Rebuild()
  {
    const TimePoint now = clock.Now();
    const std::vector<OwnerCandidate> hosts = peers.Candidates(now, leaving);
    const unsigned silent = peers.SilentHosts(now);
    auto snapshot = std::make_shared<FleetSnapshot>();
    snapshot->routes = view.Routes();
    snapshot->hosts =
      static_cast<unsigned>(std::max<std::size_t>(hosts.size(), 1));
    if (snapshot->routes && configuredAt == TimePoint()) {
      configuredAt = now;
    }
    std::vector<ProbeTarget> owned;
    std::map<TargetId, Incarnation> usable;
    for (const TargetSpec& spec : view.UsableTargets()) {
      NoteStart(spec, now);
      usable[spec.id] = spec.born;
      FleetTarget target;
      target.spec = spec;
      target.local = spec.zone == identity.self.zone;
      const OwnerCandidate* owner = OwnerOf(spec, hosts);
      const ServiceSpec* service =
        snapshot->routes ? snapshot->routes->Service(spec.service) : nullptr;
      if (owner != nullptr && owner->host == identity.self.host &&
          service != nullptr) {
        owned.push_back({ spec, service->healthPath });
        target.coldQuota =
          coldPauseOver ? ColdQuota(terms.cold, service->warmUpRate, silent)
                        : 0;
      }
      snapshot->targets[spec.service].push_back(std::move(target));
    }
    ForgetTargets(usable, owned);
    prober.SetTargets(owned);
    published = snapshot;
    fleetCell.Publish(std::move(snapshot));
    board.Publish();
  }

  void NoteStart(const TargetSpec& aSpec, TimePoint aNow)
  {
    const auto held = known.find(aSpec.id);
    if (held != known.end() && held->second != aSpec.born) {
      board.Invalidate(aSpec.id, aNow);
      ownReadings.erase(aSpec.id);
    }
  }

  void ForgetTargets(const std::map<TargetId, Incarnation>& aUsable,
                     const std::vector<ProbeTarget>& aOwned)
  {
    for (const auto& [id, born] : known) {
      if (aUsable.count(id) == 0) {
        board.Remove(id);
      }
    }
    known = aUsable;
    std::map<TargetId, LoadReading> kept;
    for (const ProbeTarget& target : aOwned) {
      const auto held = ownReadings.find(target.spec.id);
      if (held != ownReadings.end()) {
        kept.insert(*held);
      }
    }
    ownReadings = std::move(kept);
  }

  void OnProbed(const LoadReading& aReading)
  {
    if (known.count(aReading.target) == 0) {
      return;
    }
    LoadReading& held = ownReadings[aReading.target];
    const bool first = held.target.empty();
    const bool changed =
      first || held.state != aReading.state ||
      (held.coldLeft > Duration(0)) != (aReading.coldLeft > Duration(0));
    held = aReading;
    board.Offer(aReading);
    board.Publish();
    if (changed) {
      Log(LogLevel::kInfo,
          "probe",
          { { "target", aReading.target.value() },
            { "state", ToString(aReading.state) },
            { "cold_ms",
              std::to_string(
                std::chrono::duration_cast<std::chrono::milliseconds>(
                  aReading.coldLeft)
                  .count()) } });
      if (!first) {
        BeatZone();
      }
    }
  }

  // Time.

  void ScheduleTick()
  {
    tick.expires_after(kTick);
    tick.async_wait([self = weak_from_this()](const asio::error_code& aError) {
      const auto impl = self.lock();
      if (!aError && impl) {
        impl->OnTick();
        impl->ScheduleTick();
      }
    });
  }

  void OnTick()
  {
    ++ticks;
    const TimePoint now = clock.Now();
    if (!coldPauseOver && now > startedAt + kColdPause) {
      coldPauseOver = true;
      Rebuild();
    }
    OnMembership();
    CatchUp();
    if (ticks % kProbeTicks == 0) {
      prober.ProbeAll();
    } else {
      BeatZone();
    }
    if (ticks % kFarBeatTicks == 0) {
      BeatFar();
    }
    if (forgottenAt + kForgetPeriod < now) {
      forgottenAt = now;
      peers.Forget(now);
    }
  }

  bool Ready() const
  {
    if (leaving || !published->routes || published->targets.empty()) {
      return false;
    }
    return clock.Now() > configuredAt + kReadyPatience ||
           ownReadings.size() >= prober.TargetCount();
  }
};

FleetControl::FleetControl(std::shared_ptr<Impl> aImpl)
  : impl_(std::move(aImpl))
{
}

FleetControl::~FleetControl() = default;

Outcome<std::unique_ptr<FleetControl>> FleetControl::Make(
  asio::io_context& aContext,
  const Clock& aClock,
  const HostIdentity& aIdentity,
  const FleetTerms& aTerms,
  const CatalogDecoder& aDecoder,
  CatalogSource& aSource,
  SnapshotCell<FleetSnapshot>& aFleet,
  SnapshotCell<LoadSnapshot>& aLoad)
{
  auto impl = std::make_shared<Impl>(
    aContext, aClock, aIdentity, aTerms, aDecoder, aSource, aFleet, aLoad);
  BOOST_OUTCOME_TRYV(impl->Start());
  return std::unique_ptr<FleetControl>(new FleetControl(std::move(impl)));
}

bool FleetControl::Ready() const
{
  return impl_->Ready();
}

void FleetControl::BeginLeave()
{
  impl_->leaving = true;
  impl_->OnMembership();
  impl_->BeatAll();
}

void FleetControl::SetColdTerms(const ColdTerms& aTerms)
{
  impl_->terms.cold = aTerms;
  impl_->Rebuild();
}

HttpMessage FleetControl::AnswerPull(const HttpMessage& aRequest) const
{
  return CatalogPuller::Answer(aRequest, impl_->replica);
}

std::string FleetControl::MetricsText() const
{
  MetricsPage page;
  const TimePoint now = impl_->clock.Now();
  page.AddGauge("lacewing_members",
                "Hosts that are alive, this one included.",
                {},
                static_cast<double>(impl_->published->hosts));
  page.AddGauge("lacewing_store_watched",
                "1 while this host watches the store.",
                {},
                impl_->role == WatchRole::kNone ? 0 : 1);
  page.AddGauge(
    "lacewing_catalog_age_seconds",
    "Since the store last confirmed the catalog.",
    {},
    std::chrono::duration<double>(now - impl_->confirmedAt).count());
  page.AddCounter(
    "lacewing_beats_sent_total", "Datagrams to peers.", {}, impl_->beatsSent);
  page.AddCounter("lacewing_beats_received_total",
                  "Datagrams from peers.",
                  {},
                  impl_->beatsReceived);
  page.AddCounter("lacewing_beats_refused_total",
                  "Datagrams that could not be read.",
                  {},
                  impl_->beatsRefused);
  page.AddCounter("lacewing_probes_total",
                  "Probes of targets.",
                  {},
                  impl_->prober.ProbeCount());
  return page.ToString();
}

} // namespace lacewing
