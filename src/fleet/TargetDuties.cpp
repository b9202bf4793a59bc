#include "fleet/TargetDuties.h"

#include "balance/ColdQuota.h"
#include "balance/TargetOwner.h"
#include "core/Log.h"
#include "fleet/LoadBoard.h"
#include "fleet/Prober.h"

#include <map>
#include <utility>

namespace lacewing {

namespace {

// A restarted host may have used up a cold target's quota just before.
constexpr Duration kColdPause = std::chrono::milliseconds(1200);
// Without readings of most targets a host counts as ready after this time.
constexpr Duration kReadyPatience = std::chrono::milliseconds(1500);

} // namespace

struct TargetDuties::Impl
{
  const Clock& clock;
  const PeerAddress self;
  FleetTerms terms;
  SnapshotCell<FleetSnapshot>& fleetCell;
  std::function<void()> onNews;
  LoadBoard board;
  Prober prober;
  std::map<TargetId, LoadReading> ownReadings;
  std::map<TargetId, Incarnation> known;
  std::shared_ptr<const FleetSnapshot> published;
  const TimePoint startedAt;
  TimePoint configuredAt;

  Impl(asio::io_context& aContext,
       const Clock& aClock,
       const PeerAddress& aSelf,
       const FleetTerms& aTerms,
       SnapshotCell<FleetSnapshot>& aFleet,
       SnapshotCell<LoadSnapshot>& aLoad,
       std::function<void()> aOnNews)
    : clock(aClock)
    , self(aSelf)
    , terms(aTerms)
    , fleetCell(aFleet)
    , onNews(std::move(aOnNews))
    , board(aLoad)
    , prober(aContext,
             aClock,
             aTerms.names,
             [this](const LoadReading& aReading) { OnProbed(aReading); })
    , published(aFleet.Get())
    , startedAt(aClock.Now())
  {
  }

  void Rebuild(const CatalogView& aCatalog, const PeerExchange& aPeers)
  {
    const TimePoint now = clock.Now();
    const std::vector<OwnerCandidate> hosts = aPeers.Candidates();
    const std::vector<ZoneId> zones = aPeers.AliveZones();
    const unsigned silent = aPeers.SilentHosts();
    auto snapshot = std::make_shared<FleetSnapshot>();
    snapshot->routes = aCatalog.Routes();
    snapshot->hosts = aPeers.HostCount();
    if (snapshot->routes && configuredAt == TimePoint()) {
      configuredAt = now;
    }
    std::vector<ProbeTarget> owned;
    std::map<TargetId, Incarnation> usable;
    for (const TargetSpec& spec : aCatalog.UsableTargets()) {
      NoteStart(spec, now);
      usable[spec.id] = spec.incarnation;
      FleetTarget target;
      target.spec = spec;
      target.local = spec.zone == self.zone;
      const ServiceSpec* service =
        snapshot->routes ? snapshot->routes->Service(spec.service) : nullptr;
      if (service != nullptr && Owns(spec, zones, hosts)) {
        owned.push_back({ spec, service->healthPath });
        target.coldQuota = ColdQuotaOf(*service, silent, now);
      }
      snapshot->targets[spec.service].push_back(std::move(target));
    }
    ForgetTargets(usable, owned);
    prober.SetTargets(owned);
    published = snapshot;
    fleetCell.Publish(std::move(snapshot));
    board.Publish();
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
                       unsigned aSilent,
                       TimePoint aNow) const
  {
    return aNow > startedAt + kColdPause
             ? ColdQuota(terms.cold, aService.warmUpRate, aSilent)
             : 0;
  }

  /** Readings of a target's earlier start tell nothing of this one. */
  void NoteStart(const TargetSpec& aSpec, TimePoint aNow)
  {
    const auto held = known.find(aSpec.id);
    if (held != known.end() && held->second != aSpec.incarnation) {
      board.Invalidate(aSpec.id, aNow);
      ownReadings.erase(aSpec.id);
    }
  }

  void ForgetTargets(const std::map<TargetId, Incarnation>& aUsable,
                     const std::vector<ProbeTarget>& aOwned)
  {
    for (const auto& [id, incarnation] : known) {
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
    const bool wasCold = held.coldLeft > Duration(0);
    const bool isCold = aReading.coldLeft > Duration(0);
    const bool changed =
      first || held.state != aReading.state || wasCold != isCold;
    held = aReading;
    board.Offer(aReading);
    if (!changed) {
      return;
    }
    board.Publish();
    Log(LogLevel::kInfo,
        "probe",
        { { "target", aReading.target.value() },
          { "state", ToString(aReading.state) },
          { "cold", isCold ? "1" : "0" } });
    if (!first) {
      onNews();
    }
  }
};

TargetDuties::TargetDuties(asio::io_context& aContext,
                           const Clock& aClock,
                           const PeerAddress& aSelf,
                           const FleetTerms& aTerms,
                           SnapshotCell<FleetSnapshot>& aFleet,
                           SnapshotCell<LoadSnapshot>& aLoad,
                           std::function<void()> aOnNews)
  : impl_(std::make_unique<Impl>(aContext,
                                 aClock,
                                 aSelf,
                                 aTerms,
                                 aFleet,
                                 aLoad,
                                 std::move(aOnNews)))
{
}

TargetDuties::~TargetDuties() = default;

void TargetDuties::Rebuild(const CatalogView& aCatalog,
                           const PeerExchange& aPeers)
{
  impl_->Rebuild(aCatalog, aPeers);
}

void TargetDuties::SetColdTerms(const ColdStartLimits& aTerms)
{
  impl_->terms.cold = aTerms;
}

void TargetDuties::OnReading(const LoadReading& aReading)
{
  if (impl_->known.count(aReading.target) != 0) {
    impl_->board.Offer(aReading);
  }
}

void TargetDuties::ProbeAll()
{
  impl_->prober.ProbeAll();
}

void TargetDuties::PublishReadings()
{
  impl_->board.Publish();
}

std::vector<LoadReading> TargetDuties::OwnReadings() const
{
  std::vector<LoadReading> readings;
  readings.reserve(impl_->ownReadings.size());
  for (const auto& [id, reading] : impl_->ownReadings) {
    readings.push_back(reading);
  }
  return readings;
}

bool TargetDuties::Ready() const
{
  if (!impl_->published->routes || impl_->published->targets.empty()) {
    return false;
  }
  return impl_->clock.Now() > impl_->configuredAt + kReadyPatience ||
         impl_->ownReadings.size() >= impl_->prober.TargetCount();
}

std::uint64_t TargetDuties::ProbeCount() const
{
  return impl_->prober.ProbeCount();
}

} // namespace lacewing
