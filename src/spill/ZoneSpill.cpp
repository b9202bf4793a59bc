#include "spill/ZoneSpill.h"

#include "spill/DemandEstimate.h"
#include "spill/FlowPlan.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace lacewing {

namespace {

// Requests in a report were sent on average half a usual service time before.
constexpr Duration kMeanElapsed = std::chrono::milliseconds(100);
// Part of the difference to the wanted decision that one step moves, so that
// zones that act on the same spare capacity with different data don't overshoot
// together.
constexpr double kStepPart = 0.5;
// Differences below this part of the decision are noise of the readings.
constexpr double kHysteresis = 0.1;
// A zone keeps some requests, since what it sends out says nothing about its
// own targets.
constexpr double kMaxShare = 0.9;
// Shares below this are not worth a connection to the other zone.
constexpr double kMinShare = 0.005;
constexpr double kHundredths = 100;
constexpr double kMaxHundredths = 4e9;

template<class Map>
double Total(const Map& aShares)
{
  return std::accumulate(
    aShares.begin(), aShares.end(), 0.0, [](double aSum, const auto& aShare) {
      return aSum + aShare.second;
    });
}

const ZoneReport* FindZone(const std::vector<ZoneReport>& aReports,
                           const ZoneId& aZone)
{
  const auto found = std::find_if(
    aReports.begin(), aReports.end(), [&aZone](const ZoneReport& aReport) {
      return aReport.zone == aZone;
    });
  return found == aReports.end() ? nullptr : &*found;
}

} // namespace

ZoneSpill::ZoneSpill(const ZoneId& aOwnZone, const ZoneCost& aCost)
  : ownZone_(aOwnZone)
  , cost_(aCost)
{
}

const ZoneSpill::ShareMap& ZoneSpill::SharesAt(TimePoint aTime) const
{
  static const ShareMap none;
  const auto held =
    std::find_if(past_.rbegin(), past_.rend(), [aTime](const Past& aPast) {
      return aPast.at <= aTime;
    });
  return held == past_.rend() ? none : held->shares;
}

void ZoneSpill::AddOutflows(TimePoint aNow,
                            const std::vector<ZoneReport>& aReports,
                            ZoneLoad& aOwn) const
{
  const ShareMap& shares = SharesAt(aNow - aOwn.age - kMeanElapsed);
  const double local = std::max(aOwn.busy - InflowOf(ownZone_, aReports), 0.0);
  const double demand = local / (1 - Total(shares));
  for (const auto& [zone, share] : shares) {
    aOwn.outZones.push_back(zone);
    aOwn.outHundredths.push_back(static_cast<std::uint32_t>(
      std::min(demand * share * kHundredths, kMaxHundredths)));
  }
}

void ZoneSpill::Decide(TimePoint aNow,
                       const std::vector<ZoneReport>& aReports,
                       ByteCount aBytes)
{
  std::vector<ZoneReport> fresh;
  for (const ZoneReport& report : aReports) {
    if (report.load.age < kZoneLoadTimeout && report.load.slots > 0) {
      fresh.push_back(report);
    }
  }
  if (FindZone(fresh, ownZone_) == nullptr) {
    utilization_ = 0;
    shares_.clear();
  } else {
    for (ZoneReport& report : fresh) {
      if (report.zone == ownZone_) {
        report.load.outZones.clear();
        report.load.outHundredths.clear();
        AddOutflows(aNow, fresh, report.load);
      }
    }
    const ShareMap wanted = Wanted(fresh, cost_.Of(aBytes));
    // A zone that is lost or out of service gets nothing more at once.
    for (auto held = shares_.begin(); held != shares_.end();) {
      held = FindZone(fresh, held->first) == nullptr ? shares_.erase(held)
                                                     : std::next(held);
    }
    Step(wanted);
  }
  past_.push_back({ aNow, shares_ });
  while (past_.size() > 1 &&
         past_[1].at + kZoneLoadTimeout + kMeanElapsed < aNow) {
    past_.pop_front();
  }
}

ZoneSpill::ShareMap ZoneSpill::Wanted(const std::vector<ZoneReport>& aReports,
                                      Duration aCost)
{
  const std::vector<ZoneDemand> demands = EstimateDemands(aReports);
  const auto own =
    static_cast<std::size_t>(FindZone(aReports, ownZone_) - aReports.data());
  utilization_ = demands[own].Utilization();
  ShareMap wanted;
  if (utilization_ <= kSpillUtilization) {
    return wanted;
  }
  const std::vector<ZoneFlow> flows = PlanFlows(demands, aCost);
  double moved = 0;
  for (const ZoneFlow& flow : flows) {
    moved += flow.in;
  }
  const double out =
    std::min(flows[own].out / demands[own].requests, kMaxShare);
  for (std::size_t i = 0; i < flows.size() && moved > 0 && out > 0; ++i) {
    if (flows[i].in > 0) {
      wanted[aReports[i].zone] = out * flows[i].in / moved;
    }
  }
  return wanted;
}

void ZoneSpill::Step(const ShareMap& aWanted)
{
  ShareMap differences = aWanted;
  for (const auto& [zone, share] : shares_) {
    differences[zone] -= share;
  }
  const double change = std::accumulate(differences.begin(),
                                        differences.end(),
                                        0.0,
                                        [](double aSum, const auto& aEach) {
                                          return aSum + std::abs(aEach.second);
                                        });
  if (change <= kHysteresis * std::max(Total(aWanted), TotalShare())) {
    return;
  }
  for (const auto& [zone, difference] : differences) {
    double& share = shares_[zone];
    share += kStepPart * difference;
    if (share < kMinShare) {
      shares_.erase(zone);
    }
  }
}

std::vector<SpillShare> ZoneSpill::Shares() const
{
  std::vector<SpillShare> shares;
  for (const auto& [zone, share] : shares_) {
    shares.push_back({ zone, share });
  }
  return shares;
}

double ZoneSpill::TotalShare() const
{
  return Total(shares_);
}

} // namespace lacewing
