#include "fleet/FleetControl.h"

#include "balance/ProbeShare.h"
#include "core/Log.h"
#include "core/OneShotTimer.h"
#include "fleet/CatalogSync.h"
#include "fleet/CatalogView.h"
#include "fleet/HostDirectory.h"
#include "fleet/Membership.h"
#include "fleet/PeerExchange.h"
#include "fleet/RestartLog.h"
#include "fleet/RolloutControl.h"
#include "fleet/SpillControl.h"
#include "fleet/StepDelay.h"
#include "fleet/TargetManager.h"
#include "fleet/WatchElection.h"
#include "metrics/MetricsPage.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace lacewing {

namespace {

// Period of the control thread's step.
constexpr Duration kTick = std::chrono::milliseconds(100);
// Owned targets are probed on every second step. Readings only narrow down
// where to look, since each choice of a target probes the candidates itself.
constexpr unsigned kTicksPerProbe = 2;
static_assert(kTick * kTicksPerProbe == kOwnerProbePeriod,
              "the budget for probes counts those of owners");
// If no seed has responded within this time after the start, the store is
// searched for hosts.
constexpr Duration kSeedTimeout = std::chrono::milliseconds(1200);
// A host that has received no configuration this long after its start, which is
// the time of a few responses of a seed, reads the store once: after a power
// failure callers are already waiting.
constexpr Duration kFirstReadDelay = std::chrono::milliseconds(40);
// A host that has just started knows its peers incompletely for some heartbeats
// and would consider itself the owner of customers that others own.
constexpr Duration kSettleTime = std::chrono::milliseconds(500);
// A host that has heard none of its seeds for this long is assumed to be the
// only one, as network partitions last seconds.
constexpr Duration kAloneTime = std::chrono::seconds(30);
// At the first start of a deployment no callers wait. Its watchers are elected
// and pass the configuration on within this time.
constexpr Duration kFirstStartReadDelay = std::chrono::milliseconds(3000);
// Where changes of the catalog come from, in log lines, if not from a peer.
constexpr const char* kStoreName = "store";
constexpr const char* kNoSource = "none";

} // namespace

struct FleetControl::Impl : std::enable_shared_from_this<Impl>
{
  asio::io_context& context;
  const Clock& clock;
  const HostIdentity identity;
  CatalogSource& source;
  const CatalogDecoder& decoder;
  const std::optional<RolloutLimits> rolloutLimits;
  const SnapshotCell<LoadSnapshot>& load;
  OneShotTimer firstReadTimer;
  CatalogView view;
  CatalogSync catalog;
  TargetManager targetManager;
  HostDirectory directory;
  std::unique_ptr<PeerExchange> peers;
  /** Null in a deployment without rollouts. */
  std::unique_ptr<RolloutControl> rollouts;
  const SnapshotCell<FleetSnapshot>& fleetCell;
  const SnapshotCell<LoadSnapshot>& loadCell;
  /** Null unless requests may be drawn to leave their zone. */
  std::unique_ptr<SpillControl> spill;
  WatchElection election;
  const Duration firstReadDelay;
  const bool namesSpeakers;
  std::function<void()> onTick;
  const TimePoint startedAt;
  TimePoint confirmedAt;
  /** The store's era to which the configuration belongs. */
  StoreEra era;
  Membership membership;
  RestartLog restarts;
  StepDelay stepDelay;
  /** A heartbeat reported that a host joined, left or changed its state. */
  bool membershipChanged = false;
  unsigned ticks = 0;
  bool leaving = false;
  bool directorySearched = false;

  Impl(asio::io_context& aContext,
       const Clock& aClock,
       const HostIdentity& aIdentity,
       const FleetOptions& aOptions,
       const CatalogDecoder& aDecoder,
       CatalogSource& aSource,
       SnapshotCell<FleetSnapshot>& aFleet,
       SnapshotCell<LoadSnapshot>& aLoad)
    : context(aContext)
    , clock(aClock)
    , identity(aIdentity)
    , source(aSource)
    , decoder(aDecoder)
    , rolloutLimits(aOptions.rollouts)
    , load(aLoad)
    , firstReadTimer(aContext)
    , view(aDecoder, aClock)
    , catalog(aContext,
              aClock,
              FollowedKinds(aOptions.rollouts.has_value()),
              [this](const PeerAddress& aPeer, const PulledChanges& aChanges) {
                OnPulled(aPeer, aChanges);
              })
    , targetManager(
        aContext,
        aClock,
        aIdentity.self,
        aOptions,
        aFleet,
        aLoad,
        [this] { peers->SendZoneHeartbeats(targetManager.OwnReadings()); })
    , directory(aContext,
                aIdentity,
                aSource,
                [this](const std::vector<PeerAddress>& aHosts) {
                  peers->Learn(aHosts);
                })
    , fleetCell(aFleet)
    , loadCell(aLoad)
    , election(aClock,
               { aIdentity.self.host, aIdentity.self.zone },
               aOptions.firstStart)
    , firstReadDelay(aOptions.firstStart ? kFirstStartReadDelay
                                         : kFirstReadDelay)
    , namesSpeakers(aOptions.namesSpeakers)
    , startedAt(aClock.Now())
    , confirmedAt(aClock.Now())
  {
    if (aOptions.spill) {
      spill = std::make_unique<SpillControl>(
        aIdentity.self.zone, *aOptions.spill, aOptions.spillUsage);
    }
  }

  Outcome<void> Start()
  {
    BOOST_OUTCOME_TRY(
      peers, PeerExchange::Make(context, clock, identity, PeerEvents()));
    StartRollouts();
    if (spill) {
      peers->EnableZoneLoads();
    }
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

  void StartRollouts()
  {
    if (!rolloutLimits) {
      return;
    }
    rollouts = std::make_unique<RolloutControl>(
      clock, identity, *rolloutLimits, decoder, source, load, *peers, [this] {
        targetManager.Rebuild(view, *peers);
      });
    targetManager.SetVersionRules(
      [this](FleetSnapshot& aSnapshot) { rollouts->ApplyVersions(aSnapshot); });
  }

  PeerExchange::Events PeerEvents()
  {
    PeerExchange::Events events;
    events.state = [this] {
      return PeerState{ leaving,
                        election.StoreOk(),
                        namesSpeakers,
                        catalog.Positions(),
                        confirmedAt };
    };
    events.onMembership = [this] { membershipChanged = true; };
    events.onReading = [this](const LoadReading& aReading) {
      targetManager.OnReading(aReading);
    };
    events.onCatalog = [this](const PeerHeartbeat& aHeartbeat) {
      OnPeerCatalog(aHeartbeat);
    };
    events.onRollout = [this](const PeerHeartbeat& aHeartbeat) {
      if (rollouts) {
        rollouts->OnMessage(aHeartbeat);
      }
    };
    return events;
  }

  void OnPeerCatalog(const PeerHeartbeat& aHeartbeat)
  {
    if (catalog.Equals(aHeartbeat.positions)) {
      confirmedAt =
        std::max(confirmedAt, clock.Now() - aHeartbeat.confirmedAge);
      return;
    }
    // Only a zone's speakers pull from other zones, and the other hosts of the
    // zone pull from the speakers, because traffic between zones is charged.
    if (aHeartbeat.from.zone == identity.self.zone || peers->IsSpeaker()) {
      catalog.NotePeer(aHeartbeat.from, aHeartbeat.positions);
    }
  }

  void OnPulled(const PeerAddress& aPeer, const PulledChanges& aChanges)
  {
    OnCatalog(aChanges.objects, aPeer.host.value());
    source.NotePositions(catalog.Positions());
    if (aChanges.positions && peers->IsSpeaker()) {
      peers->SendZoneHeartbeats(targetManager.OwnReadings());
    }
    // Other zones may have no watcher. Other changes wait for the next digest,
    // because traffic between zones is charged.
    if (aChanges.configuration && aPeer.zone == identity.self.zone) {
      peers->SendZoneDigest();
    }
  }

  void OnStoreChanges(CatalogKind aKind, const CatalogChanges& aChanges)
  {
    confirmedAt = clock.Now();
    const std::vector<StorePosition> before = catalog.Positions();
    const bool changed = catalog.Apply(aKind, aChanges);
    OnCatalog(changed, kStoreName);
    if (catalog.Positions() != before) {
      peers->SendZoneHeartbeats(targetManager.OwnReadings());
    }
    if (changed) {
      peers->SendZoneDigest();
    }
  }

  void OnCatalog(bool aChanged, const std::string& aFrom)
  {
    NoteEra();
    // An empty list of orders changes nothing, but ends the wait for it.
    if (aChanged || (rollouts && rollouts->AwaitsOrders(catalog.Replica()))) {
      view.Update(catalog.Replica(), aFrom);
      if (rollouts) {
        rollouts->OnCatalog(catalog.Replica());
      }
      targetManager.Rebuild(view, *peers);
    }
  }

  /**
   * A store that came back from a copy may have lost this host's object, which
   * a host that has no peers needs to find others. The configuration's position
   * stands for all kinds, which reach a new era within one pull or list.
   */
  void NoteEra()
  {
    const StoreEra reached =
      catalog.Replica().PositionOf(CatalogKind::kConfiguration).era;
    const StoreEra before = std::exchange(era, reached);
    if (before != StoreEra() && before != reached) {
      Log(LogLevel::kWarning,
          "catalog-era",
          { { "era", std::to_string(reached.value()) },
            { "before", std::to_string(before.value()) } });
      directory.RegisterAgain();
    }
  }

  void OnReachable(bool aReachable)
  {
    if (!election.OnReachable(aReachable)) {
      return;
    }
    peers->SendZoneHeartbeats(targetManager.OwnReadings());
    peers->SendZoneDigest();
    UpdateWatchRole();
  }

  /**
   * Decides whether and how this host watches the store, and applies a changed
   * role.
   */
  void UpdateWatchRole()
  {
    if (election.Update(*peers, leaving, catalog.Behind())) {
      if (election.Role() != WatchRole::kNone) {
        directory.RegisterSelf();
      }
      source.Follow(election.Role(), catalog.Positions());
    }
    if (election.TakeTrial(*peers, leaving)) {
      source.TryReach();
    }
  }

  void OnMembership()
  {
    if (membership.Update(*peers)) {
      targetManager.Rebuild(view, *peers);
    }
    UpdateWatchRole();
  }

  /**
   * Schedules the single read of the store, which is skipped if a configuration
   * has arrived by then.
   */
  void ScheduleFirstRead()
  {
    firstReadTimer.Arm(firstReadDelay, [self = weak_from_this()] {
      const auto impl = self.lock();
      if (impl && impl->catalog.Replica().PositionOf(
                    CatalogKind::kConfiguration) == StorePosition()) {
        impl->source.ReadOnce();
      }
    });
  }

  void ScheduleTick()
  {
    // Nothing cancels a tick, and this costs one poll of the sockets less.
    OneShotTimer::RunAfter(context, kTick, [self = weak_from_this()] {
      if (const auto impl = self.lock()) {
        impl->OnTick();
        if (impl->onTick) {
          impl->onTick();
        }
        impl->ScheduleTick();
      }
    });
  }

  void UpdateSpill()
  {
    if (!spill || !spill->IsDue(clock.Now())) {
      return;
    }
    targetManager.SetSpill(spill->Update(
      clock.Now(), *fleetCell.Get(), *loadCell.Get(), peers->ZoneLoads()));
    peers->SetZoneLoads(spill->OwnLoads());
  }

  void OnTick()
  {
    stepDelay.OnStep(clock.Now(), kTick);
    restarts.Add(peers->TakeRestarts());
    const bool probes = ++ticks % kTicksPerProbe == 0;
    // Hosts that join or leave together are handled together, since each update
    // determines the owners of all targets anew.
    if (std::exchange(membershipChanged, false) || !probes) {
      OnMembership();
    }
    if (probes) {
      targetManager.ProbeAll();
      return;
    }
    if (!directorySearched && !peers->HasReceived() &&
        clock.Now() > startedAt + kSeedTimeout) {
      directorySearched = true;
      directory.Find();
    }
    catalog.BeginPulls();
    if (view.Outdated()) {
      OnCatalog(true, kNoSource);
    }
    UpdateSpill();
    targetManager.PublishReadings();
    peers->Tick(targetManager.OwnReadings());
    if (rollouts) {
      rollouts->Tick(election.Role());
    }
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
  const FleetOptions& aOptions,
  const CatalogDecoder& aDecoder,
  CatalogSource& aSource,
  SnapshotCell<FleetSnapshot>& aFleet,
  SnapshotCell<LoadSnapshot>& aLoad)
{
  auto impl = std::make_shared<Impl>(
    aContext, aClock, aIdentity, aOptions, aDecoder, aSource, aFleet, aLoad);
  BOOST_OUTCOME_TRYV(impl->Start());
  return std::unique_ptr<FleetControl>(new FleetControl(std::move(impl)));
}

bool FleetControl::Ready() const
{
  return !impl_->leaving && impl_->targetManager.Ready();
}

void FleetControl::BeginLeave()
{
  impl_->leaving = true;
  impl_->OnMembership();
  impl_->peers->SendZoneHeartbeats(impl_->targetManager.OwnReadings());
}

void FleetControl::SetTickHandler(std::function<void()> aHandler)
{
  impl_->onTick = std::move(aHandler);
}

AllowanceView FleetControl::HostsForAllowances() const
{
  const PeerExchange& peers = *impl_->peers;
  const Duration age = impl_->clock.Now() - impl_->startedAt;
  const bool knowsPeers =
    peers.HasReceived() || impl_->identity.seeds.empty() || age > kAloneTime;
  AllowanceView view;
  view.zones = peers.SpeakersByZone();
  view.hosts = peers.HostCount();
  view.unresponsive = peers.UnresponsiveHosts();
  view.settled = age > kSettleTime && knowsPeers;
  return view;
}

void FleetControl::SetColdTerms(const ColdStartLimits& aTerms)
{
  impl_->targetManager.SetColdTerms(aTerms);
  impl_->targetManager.Rebuild(impl_->view, *impl_->peers);
}

void FleetControl::SetEvidenceReader(EvidenceReader aReader)
{
  if (impl_->rollouts) {
    impl_->rollouts->SetEvidenceReader(std::move(aReader));
  }
}

HttpMessage FleetControl::HandlePull(const HttpMessage& aRequest)
{
  return impl_->catalog.HandlePull(aRequest);
}

void FleetControl::SetProbeLimits(const ProbeLimits& aLimits)
{
  impl_->targetManager.SetProbeLimits(aLimits);
}

std::string FleetControl::MetricsText() const
{
  const PeerExchange& peers = *impl_->peers;
  MetricsPage page;
  if (impl_->spill) {
    impl_->spill->AddMetrics(page);
  }
  page.AddGauge("lacewing_hosts",
                "Number of live hosts, this one included.",
                {},
                peers.HostCount());
  page.AddGauge("lacewing_hosts_silent",
                "Number of unresponsive hosts that may still run behind a "
                "network partition.",
                {},
                peers.UnresponsiveHosts());
  for (const bool announced : { false, true }) {
    page.AddCounter("lacewing_hosts_restarted_total",
                    "Restarts of other hosts of this zone, by whether the run "
                    "before had announced its stop.",
                    { { "announced", announced ? "yes" : "no" } },
                    impl_->restarts.Count(announced));
  }
  page.AddGauge("lacewing_store_watched",
                "1 while this host watches the store.",
                {},
                impl_->election.Role() == WatchRole::kNone ? 0 : 1);
  page.AddGauge("lacewing_store_era",
                "How often the store has come back from a copy, as it says.",
                {},
                static_cast<double>(impl_->era.value()));
  page.AddGauge(
    "lacewing_catalog_age_seconds",
    "Seconds since the store last confirmed the catalog.",
    {},
    std::chrono::duration<double>(impl_->clock.Now() - impl_->confirmedAt)
      .count());
  page.AddGauge(
    "lacewing_process_age_seconds",
    "Seconds since this process started.",
    {},
    std::chrono::duration<double>(impl_->clock.Now() - impl_->startedAt)
      .count());
  page.AddCounter(
    "lacewing_beats_sent_total", "Datagrams sent to peers.", {}, peers.Sent());
  page.AddCounter("lacewing_beats_received_total",
                  "Datagrams received from peers and decoded.",
                  {},
                  peers.Received());
  page.AddCounter("lacewing_beats_refused_total",
                  "Received datagrams that could not be decoded.",
                  {},
                  peers.DecodeErrors());
  page.AddCounter("lacewing_probes_total",
                  "Probes sent to owned targets.",
                  {},
                  impl_->targetManager.ProbeCount());
  impl_->catalog.AddMetrics(page);
  impl_->stepDelay.AddMetrics(page);
  if (impl_->rollouts) {
    impl_->rollouts->AddMetrics(page);
  }
  return page.ToString();
}

} // namespace lacewing
