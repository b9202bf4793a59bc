#include "fleet/TargetManager.h"

#include "balance/ColdQuota.h"
#include "balance/TargetOwner.h"
#include "core/Log.h"
#include "fleet/LoadPublisher.h"
#include "fleet/OwnerProbePacing.h"
#include "fleet/Prober.h"

#include <map>
#include <utility>

namespace lacewing {

namespace {

// After its start a host uses no cold quota for this long, since it may have
// used up a cold target's quota just before a restart.
constexpr Duration kColdPause = std::chrono::milliseconds(1200);
// A host without readings of all its owned targets counts as ready this long
// after it received a configuration.
constexpr Duration kReadyTimeout = std::chrono::milliseconds(1500);

} // namespace

struct TargetManager::Impl
{
  const Clock& clock;
  const PeerAddress self;
  FleetOptions options;
  SnapshotCell<FleetSnapshot>& fleetCell;
  std::function<void()> onHealthChange;
  /** Empty in a deployment without rollouts. */
  std::function<void(FleetSnapshot&)> versionRules;
  LoadPublisher loadPublisher;
  Prober prober;
  std::map<TargetId, LoadReading> ownReadings;
  /** The usable targets of the last rebuild, with their incarnations. */
  std::map<TargetId, Incarnation> knownTargets;
  std::shared_ptr<const FleetSnapshot> published;
  const TimePoint startedAt;
  TimePoint configuredAt;
  OwnerProbePacing probePacing;

  Impl(asio::io_context& aContext,
       const Clock& aClock,
       const PeerAddress& aSelf,
       const FleetOptions& aOptions,
       SnapshotCell<FleetSnapshot>& aFleet,
       SnapshotCell<LoadSnapshot>& aLoad,
       std::function<void()> aOnHealthChange)
    : clock(aClock)
    , self(aSelf)
    , options(aOptions)
    , fleetCell(aFleet)
    , onHealthChange(std::move(aOnHealthChange))
    , loadPublisher(aLoad)
    , prober(aContext,
             aClock,
             aOptions.names,
             [this](const LoadReading& aReading) { OnProbed(aReading); })
    , published(aFleet.Get())
    , startedAt(aClock.Now())
    , probePacing(aClock.Now())
  {
  }

  void Rebuild(const CatalogView& aCatalog, const PeerExchange& aPeers)
  {
    const TimePoint now = clock.Now();
    const std::vector<OwnerCandidate> hosts = aPeers.Candidates();
    const std::vector<ZoneId> zones = aPeers.AliveZones();
    const unsigned unresponsive = aPeers.UnresponsiveHosts();
    auto snapshot = std::make_shared<FleetSnapshot>();
    snapshot->routes = aCatalog.Routes();
    snapshot->hosts = aPeers.HostCount();
    if (snapshot->routes && configuredAt == TimePoint()) {
      configuredAt = now;
    }
    std::vector<ProbeTarget> owned;
    std::map<TargetId, Incarnation> usable;
    for (const TargetSpec& spec : aCatalog.UsableTargets()) {
      DiscardReadingsOfEarlierStart(spec, now);
      usable[spec.id] = spec.incarnation;
      FleetTarget target;
      target.spec = spec;
      target.local = spec.zone == self.zone;
      const ServiceSpec* service =
        snapshot->routes ? snapshot->routes->Service(spec.service) : nullptr;
      if (service != nullptr && Owns(spec, zones, hosts)) {
        owned.push_back({ spec, service->healthPath });
        target.coldQuota = ColdQuotaOf(*service, unresponsive, now);
      }
      snapshot->targets[spec.service].push_back(std::move(target));
    }
    if (versionRules) {
      versionRules(*snapshot);
    }
    RemoveTargets(usable, owned);
    prober.SetTargets(owned);
    published = snapshot;
    fleetCell.Publish(std::move(snapshot));
    loadPublisher.Publish();
  }

  bool Owns(const TargetSpec& aTarget,
            const std::vector<ZoneId>& aZones,
            const std::vector<OwnerCandidate>& aHosts) const
  {
    const ZoneId* zone = OwnerZone(aTarget, aZones);
    if (zone == nullptr || *zone != self.zone) {
      return false;
    }
    const OwnerCandidate* owner = OwnerOf(aTarget, aHosts);
    return owner != nullptr && owner->host == self.host;
  }

  unsigned ColdQuotaOf(const ServiceSpec& aService,
                       unsigned aUnresponsive,
                       TimePoint aNow) const
  {
    return aNow > startedAt + kColdPause
             ? ColdQuota(options.cold, aService.warmUpRate, aUnresponsive)
             : 0;
  }

  /**
   * Discards the readings of a target's earlier start, which do not apply to
   * the current one.
   */
  void DiscardReadingsOfEarlierStart(const TargetSpec& aSpec, TimePoint aNow)
  {
    const auto held = knownTargets.find(aSpec.id);
    if (held != knownTargets.end() && held->second != aSpec.incarnation) {
      loadPublisher.DiscardBefore(aSpec.id, aNow);
      ownReadings.erase(aSpec.id);
    }
  }

  void RemoveTargets(const std::map<TargetId, Incarnation>& aUsable,
                     const std::vector<ProbeTarget>& aOwned)
  {
    for (const auto& [id, incarnation] : knownTargets) {
      if (aUsable.count(id) == 0) {
        loadPublisher.Remove(id);
      }
    }
    knownTargets = aUsable;
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
    if (knownTargets.count(aReading.target) == 0) {
      return;
    }
    LoadReading& held = ownReadings[aReading.target];
    const bool first = held.target.empty();
    const bool wasCold = held.coldLeft > Duration(0);
    const bool isCold = aReading.coldLeft > Duration(0);
    const bool changed =
      first || held.state != aReading.state || wasCold != isCold;
    held = aReading;
    loadPublisher.AddReading(aReading);
    if (!changed) {
      return;
    }
    loadPublisher.Publish();
    Log(LogLevel::kInfo,
        "probe",
        { { "target", aReading.target.value() },
          { "state", ToString(aReading.state) },
          { "cold", isCold ? "1" : "0" } });
    if (!first) {
      onHealthChange();
    }
  }
};

TargetManager::TargetManager(asio::io_context& aContext,
                             const Clock& aClock,
                             const PeerAddress& aSelf,
                             const FleetOptions& aOptions,
                             SnapshotCell<FleetSnapshot>& aFleet,
                             SnapshotCell<LoadSnapshot>& aLoad,
                             std::function<void()> aOnHealthChange)
  : impl_(std::make_unique<Impl>(aContext,
                                 aClock,
                                 aSelf,
                                 aOptions,
                                 aFleet,
                                 aLoad,
                                 std::move(aOnHealthChange)))
{
}

TargetManager::~TargetManager() = default;

void TargetManager::Rebuild(const CatalogView& aCatalog,
                            const PeerExchange& aPeers)
{
  impl_->Rebuild(aCatalog, aPeers);
}

void TargetManager::SetVersionRules(std::function<void(FleetSnapshot&)> aRules)
{
  impl_->versionRules = std::move(aRules);
}

void TargetManager::SetColdTerms(const ColdStartLimits& aTerms)
{
  impl_->options.cold = aTerms;
}

void TargetManager::SetProbeLimits(const ProbeLimits& aLimits)
{
  impl_->options.probes = aLimits;
}

void TargetManager::OnReading(const LoadReading& aReading)
{
  if (impl_->knownTargets.count(aReading.target) != 0) {
    impl_->loadPublisher.AddReading(aReading);
  }
}

void TargetManager::ProbeAll()
{
  if (impl_->probePacing.Due(
        impl_->options.probes, impl_->published->hosts, impl_->clock.Now())) {
    impl_->prober.ProbeAll();
  }
}

void TargetManager::SetSpill(std::shared_ptr<const SpillPlan> aPlan)
{
  impl_->loadPublisher.SetSpill(std::move(aPlan));
}

void TargetManager::PublishReadings()
{
  impl_->loadPublisher.Publish();
}

std::vector<LoadReading> TargetManager::OwnReadings() const
{
  std::vector<LoadReading> readings;
  readings.reserve(impl_->ownReadings.size());
  for (const auto& [id, reading] : impl_->ownReadings) {
    readings.push_back(reading);
  }
  return readings;
}

bool TargetManager::Ready() const
{
  if (!impl_->published->routes || impl_->published->targets.empty()) {
    return false;
  }
  return impl_->clock.Now() > impl_->configuredAt + kReadyTimeout ||
         impl_->ownReadings.size() >= impl_->prober.TargetCount();
}

std::uint64_t TargetManager::ProbeCount() const
{
  return impl_->prober.ProbeCount();
}

} // namespace lacewing
