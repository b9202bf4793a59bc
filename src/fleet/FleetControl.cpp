#include "fleet/FleetControl.h"

#include "balance/Watchers.h"
#include "core/Log.h"
#include "fleet/CatalogPuller.h"
#include "fleet/CatalogView.h"
#include "fleet/HostDirectory.h"
#include "fleet/Membership.h"
#include "fleet/PeerExchange.h"
#include "fleet/TargetDuties.h"
#include "metrics/MetricsPage.h"

#include <asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

// The control thread's step.
constexpr Duration kTick = std::chrono::milliseconds(100);
// Owned targets are probed on each second step: readings only say where to
// look, since each choice asks the targets themselves.
constexpr unsigned kProbeTicks = 2;
// Where no seed answered by then, hosts are looked for in the store.
constexpr Duration kSeedPatience = std::chrono::milliseconds(1200);
// A starting host waits this long for peers before it may watch the store.
constexpr Duration kSettle = std::chrono::milliseconds(400);
// One that heard of no configuration by then, in the time of a few answers of a
// seed, reads the store once: after a power cut callers are waiting.
constexpr Duration kReadPatience = std::chrono::milliseconds(40);
// A host that could not reach the store is not chosen to watch it again until
// then, unless none could.
constexpr Duration kStoreDistrust = std::chrono::seconds(8);

} // namespace

struct FleetControl::Impl : std::enable_shared_from_this<Impl>
{
  const Clock& clock;
  const HostIdentity identity;
  CatalogSource& source;
  asio::steady_timer tick;
  asio::steady_timer firstRead;
  CatalogReplica replica;
  CatalogView view;
  CatalogPuller puller;
  TargetDuties duties;
  HostDirectory directory;
  std::unique_ptr<PeerExchange> peers;
  const TimePoint startedAt;
  TimePoint confirmedAt;
  TimePoint distrustUntil;
  Membership membership;
  unsigned ticks = 0;
  WatchRole role = WatchRole::kNone;
  bool storeOk = true;
  bool leaving = false;
  bool searched = false;

  Impl(asio::io_context& aContext,
       const Clock& aClock,
       const HostIdentity& aIdentity,
       const FleetTerms& aTerms,
       const CatalogDecoder& aDecoder,
       CatalogSource& aSource,
       SnapshotCell<FleetSnapshot>& aFleet,
       SnapshotCell<LoadSnapshot>& aLoad)
    : clock(aClock)
    , identity(aIdentity)
    , source(aSource)
    , tick(aContext)
    , firstRead(aContext)
    , view(aDecoder)
    , puller(aContext,
             aClock,
             [this](const CatalogPull& aPull) { OnPulled(aPull); })
    , duties(aContext,
             aClock,
             aIdentity.self,
             aTerms,
             aFleet,
             aLoad,
             [this] { peers->BeatZone(duties.OwnReadings()); })
    , directory(aContext,
                aIdentity,
                aSource,
                [this](const std::vector<PeerAddress>& aHosts) {
                  peers->Learn(aHosts);
                })
    , startedAt(aClock.Now())
    , confirmedAt(aClock.Now())
  {
  }

  Outcome<void> Start(asio::io_context& aContext)
  {
    BOOST_OUTCOME_TRY(
      peers, PeerExchange::Make(aContext, clock, identity, PeerEvents()));
    CatalogSource::Events events;
    events.onChanges = [this](CatalogKind aKind,
                              const CatalogChanges& aChanges) {
      OnStoreChanges(aKind, aChanges);
    };
    events.onReachable = [this](bool aReachable) { OnReachable(aReachable); };
    source.SetEvents(std::move(events));
    peers->Tick({});
    ScheduleTick();
    ScheduleFirstRead();
    return outcome::success();
  }

  PeerExchange::Events PeerEvents()
  {
    PeerExchange::Events events;
    events.state = [this] {
      return PeerState{ leaving, storeOk, Revisions(), confirmedAt };
    };
    events.onMembership = [this] { OnMembership(); };
    events.onReading = [this](const LoadReading& aReading) {
      duties.OnReading(aReading);
    };
    events.onCatalog = [this](const PeerBeat& aBeat) { OnPeerCatalog(aBeat); };
    return events;
  }

  std::vector<Revision> Revisions() const
  {
    std::vector<Revision> revisions;
    for (const CatalogKind kind : kCatalogKinds) {
      revisions.push_back(replica.RevisionOf(kind));
    }
    return revisions;
  }

  /** Whether some of aRevisions are above this host's. */
  bool IsAhead(const std::vector<Revision>& aRevisions) const
  {
    return std::any_of(
      kCatalogKinds.begin(), kCatalogKinds.end(), [&](CatalogKind aKind) {
        return IndexOf(aKind) < aRevisions.size() &&
               aRevisions[IndexOf(aKind)] > replica.RevisionOf(aKind);
      });
  }

  void OnPeerCatalog(const PeerBeat& aBeat)
  {
    if (!IsAhead(aBeat.revisions)) {
      if (aBeat.revisions == Revisions()) {
        confirmedAt = std::max(confirmedAt, clock.Now() - aBeat.confirmedAge);
      }
      return;
    }
    // A zone's speakers pull from other zones and the rest from them, because
    // bytes between zones are priced.
    if (aBeat.from.zone == identity.self.zone || peers->Speaking()) {
      puller.Pull(aBeat.from.ToEndpoint(), Revisions());
    }
  }

  /** Pulls what beats told of and a pull did not bring. */
  void CatchUp()
  {
    for (const Peer* peer : peers->Alive()) {
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
    OnCatalog(changed);
    source.NoteRevisions(Revisions());
    if (Revisions() != before && peers->Speaking()) {
      peers->BeatZone(duties.OwnReadings());
    }
  }

  void OnStoreChanges(CatalogKind aKind, const CatalogChanges& aChanges)
  {
    confirmedAt = clock.Now();
    const std::vector<Revision> before = Revisions();
    const bool changed = replica.Apply(aKind, aChanges);
    OnCatalog(changed);
    if (Revisions() != before) {
      peers->BeatZone(duties.OwnReadings());
    }
    if (changed) {
      peers->BeatFar();
    }
  }

  void OnCatalog(bool aChanged)
  {
    if (aChanged) {
      view.Update(replica);
      duties.Rebuild(view, *peers);
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
    peers->BeatZone(duties.OwnReadings());
    peers->BeatFar();
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
    const OwnerCandidate self{ identity.self.host, identity.self.zone };
    const std::vector<ZoneId> otherZones = peers->ZonesReachingStore();
    std::vector<OwnerCandidate> hosts = HostsReachingStore(self);
    if (hosts.empty() && otherZones.empty()) {
      // None reaches it: the usual ones try on.
      hosts = peers->Candidates();
    }
    const WatchRole wanted = WatchRoleOf(self, hosts, otherZones);
    if (wanted != role) {
      role = wanted;
      Log(LogLevel::kInfo, "watch", { { "role", ToString(role) } });
      if (role != WatchRole::kNone) {
        directory.Enter();
      }
      source.Follow(role, Revisions());
    }
  }

  std::vector<OwnerCandidate> HostsReachingStore(
    const OwnerCandidate& aSelf) const
  {
    std::vector<OwnerCandidate> hosts;
    if (storeOk && !leaving) {
      hosts.push_back(aSelf);
    }
    for (const Peer* peer : peers->Alive()) {
      if (peer->storeOk && !peer->leaving) {
        hosts.push_back({ peer->address.host, peer->address.zone });
      }
    }
    return hosts;
  }

  void OnMembership()
  {
    if (membership.Update(*peers)) {
      duties.Rebuild(view, *peers);
    }
    Elect();
  }

  /** Reads the store when no peer has brought a configuration by then. */
  void ScheduleFirstRead()
  {
    firstRead.expires_after(kReadPatience);
    firstRead.async_wait([self =
                            weak_from_this()](const asio::error_code& aError) {
      const auto impl = self.lock();
      if (!aError && impl &&
          impl->replica.RevisionOf(CatalogKind::kConfiguration) == Revision()) {
        impl->source.ReadOnce();
      }
    });
  }

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
    if (++ticks % kProbeTicks == 0) {
      duties.ProbeAll();
      return;
    }
    OnMembership();
    if (!searched && !peers->HasHeard() &&
        clock.Now() > startedAt + kSeedPatience) {
      searched = true;
      directory.Find();
    }
    CatchUp();
    duties.PublishReadings();
    peers->Tick(duties.OwnReadings());
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
  BOOST_OUTCOME_TRYV(impl->Start(aContext));
  return std::unique_ptr<FleetControl>(new FleetControl(std::move(impl)));
}

bool FleetControl::Ready() const
{
  return !impl_->leaving && impl_->duties.Ready();
}

void FleetControl::BeginLeave()
{
  impl_->leaving = true;
  impl_->OnMembership();
  impl_->peers->BeatZone(impl_->duties.OwnReadings());
}

void FleetControl::SetColdTerms(const ColdTerms& aTerms)
{
  impl_->duties.SetColdTerms(aTerms);
  impl_->duties.Rebuild(impl_->view, *impl_->peers);
}

HttpMessage FleetControl::AnswerPull(const HttpMessage& aRequest)
{
  return impl_->puller.Answer(aRequest, impl_->replica);
}

std::string FleetControl::MetricsText() const
{
  const PeerExchange& peers = *impl_->peers;
  MetricsPage page;
  page.AddGauge("lacewing_hosts",
                "Hosts that are alive, this one included.",
                {},
                peers.HostCount());
  page.AddGauge("lacewing_hosts_silent",
                "Hosts that may run behind a cut.",
                {},
                peers.SilentHosts());
  page.AddGauge("lacewing_store_watched",
                "1 while this host watches the store.",
                {},
                impl_->role == WatchRole::kNone ? 0 : 1);
  page.AddGauge(
    "lacewing_catalog_age_seconds",
    "Since the store last confirmed the catalog.",
    {},
    std::chrono::duration<double>(impl_->clock.Now() - impl_->confirmedAt)
      .count());
  page.AddCounter(
    "lacewing_beats_sent_total", "Datagrams to peers.", {}, peers.Sent());
  page.AddCounter("lacewing_beats_received_total",
                  "Datagrams from peers.",
                  {},
                  peers.Received());
  page.AddCounter("lacewing_beats_refused_total",
                  "Datagrams that could not be read.",
                  {},
                  peers.Refused());
  page.AddCounter("lacewing_probes_total",
                  "Probes of owned targets.",
                  {},
                  impl_->duties.ProbeCount());
  return page.ToString();
}

} // namespace lacewing
