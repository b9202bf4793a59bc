#include "fleet/SpillControl.h"

#include "core/Log.h"
#include "spill/ZoneLoadSum.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string>
#include <utility>

namespace lacewing {

namespace {

// Zones' loads arrive each 500 ms, so more decisions would see nothing new.
constexpr Duration kDecisionPeriod = std::chrono::milliseconds(500);
// Requests are sent out under a decision for the time of three, in case the
// control thread is paused; after that the readings behind it are too old.
constexpr Duration kPlanTime = 3 * kDecisionPeriod;
// A change of the total share that is worth a log line.
constexpr double kLoggedChange = 0.05;
// Number of requests since the last decision that give a mean size.
constexpr std::uint64_t kRequestsForSize = 10;
constexpr double kPercent = 100;

std::string PercentText(double aShare)
{
  return std::to_string(std::lround(aShare * kPercent));
}

/** The zones, in service, that have usable targets among aTargets. */
std::set<ZoneId> ZonesOf(const std::vector<FleetTarget>& aTargets)
{
  std::set<ZoneId> zones;
  for (const FleetTarget& target : aTargets) {
    zones.insert(target.spec.zone);
  }
  return zones;
}

} // namespace

SpillControl::SpillControl(
  const ZoneId& aOwnZone,
  const ZoneCost& aCost,
  std::shared_ptr<const SnapshotCell<SpillUsage>> aUsage)
  : ownZone_(aOwnZone)
  , cost_(aCost)
  , usage_(std::move(aUsage))
{
}

bool SpillControl::IsDue(TimePoint aNow) const
{
  return updatedAt_ + kDecisionPeriod <= aNow;
}

std::shared_ptr<const SpillPlan> SpillControl::Update(
  TimePoint aNow,
  const FleetSnapshot& aFleet,
  const LoadSnapshot& aLoad,
  const std::vector<ZoneReport>& aReceived)
{
  updatedAt_ = aNow;
  auto plan = std::make_shared<SpillPlan>();
  plan->validUntil = aNow + kPlanTime;
  std::map<ServiceId, std::vector<ZoneReport>> reports;
  for (const ZoneReport& report : aReceived) {
    reports[report.load.service].push_back(report);
  }
  ownLoads_ = SumZoneLoads(aFleet, aLoad, aNow);
  for (ZoneLoad& load : ownLoads_) {
    reports[load.service].push_back({ ownZone_, load });
  }
  for (const auto& [id, targets] : aFleet.targets) {
    std::vector<ZoneReport>& known = reports[id];
    const std::set<ZoneId> zones = ZonesOf(targets);
    known.erase(std::remove_if(known.begin(),
                               known.end(),
                               [&zones](const ZoneReport& aReport) {
                                 return zones.count(aReport.zone) == 0;
                               }),
                known.end());
    Service& service = services_.try_emplace(id, ownZone_, cost_).first->second;
    UpdateSize(id, service);
    service.spill.Decide(aNow, known, service.bytes);
    auto shares = service.spill.Shares();
    for (auto& [zone, share] : service.shares) {
      share = 0;
    }
    for (const SpillShare& share : shares) {
      service.shares[share.zone] = share.share;
    }
    LogChange(id, service);
    if (!shares.empty()) {
      plan->services[id] = std::move(shares);
    }
  }
  for (ZoneLoad& load : ownLoads_) {
    services_.at(load.service)
      .spill.AddOutflows(aNow, reports[load.service], load);
  }
  for (auto each = services_.begin(); each != services_.end();) {
    each = aFleet.targets.count(each->first) == 0 ? services_.erase(each)
                                                  : std::next(each);
  }
  return plan;
}

void SpillControl::UpdateSize(const ServiceId& aId, Service& aService)
{
  if (usage_ == nullptr) {
    return;
  }
  const auto usage = usage_->Get();
  const auto found = usage->services.find(aId);
  if (found == usage->services.end()) {
    return;
  }
  const std::uint64_t requests =
    found->second.requests - aService.usage.requests;
  if (requests >= kRequestsForSize) {
    const ByteCount bytes = found->second.bytes - aService.usage.bytes;
    aService.bytes = ByteCount(bytes.value() / requests);
    aService.usage = found->second;
  }
}

void SpillControl::LogChange(const ServiceId& aId, Service& aService)
{
  const double total = aService.spill.TotalShare();
  const bool ended = total <= 0 && aService.loggedShare > 0;
  if (!ended && std::abs(total - aService.loggedShare) < kLoggedChange) {
    return;
  }
  std::string zones;
  for (const SpillShare& share : aService.spill.Shares()) {
    zones += (zones.empty() ? "" : ",") + share.zone.value() + ":" +
             PercentText(share.share);
  }
  Log(LogLevel::kInfo,
      "zone-spill",
      { { "service", aId.value() },
        { "percent", PercentText(total) },
        { "before", PercentText(aService.loggedShare) },
        { "to", zones },
        { "utilization", PercentText(aService.spill.Utilization()) },
        { "bytes", std::to_string(aService.bytes.value()) } });
  aService.loggedShare = total;
}

void SpillControl::AddMetrics(MetricsPage& aPage) const
{
  const auto usage = usage_ == nullptr ? nullptr : usage_->Get();
  for (const auto& [id, service] : services_) {
    aPage.AddGauge("lacewing_zone_utilization",
                   "Requests of this zone's callers in progress, as a part of "
                   "the slots of the zone's own targets.",
                   { { "service", id.value() }, { "zone", ownZone_.value() } },
                   service.spill.Utilization());
    for (const auto& [zone, share] : service.shares) {
      aPage.AddGauge("lacewing_zone_spill_share",
                     "Part of this host's requests sent to another zone first.",
                     { { "service", id.value() }, { "zone", zone.value() } },
                     share);
    }
  }
  if (usage == nullptr) {
    return;
  }
  for (const auto& [id, totals] : usage->services) {
    for (const auto& [zone, drawn] : totals.drawn) {
      aPage.AddCounter("lacewing_zone_spill_requests_total",
                       "Requests for which another zone was drawn.",
                       { { "service", id.value() }, { "zone", zone.value() } },
                       drawn);
    }
  }
}

} // namespace lacewing
