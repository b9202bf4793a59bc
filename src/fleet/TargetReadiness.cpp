#include "fleet/TargetReadiness.h"

#include <utility>

namespace lacewing {

namespace {

// Owners send readings several times per second.
constexpr Duration kReadingFresh = std::chrono::seconds(2);

} // namespace

void TargetReadiness::Update(TimePoint aNow,
                             const ServiceId& aService,
                             const std::vector<FleetTarget>& aTargets,
                             Duration aWarmUp,
                             const LoadSnapshot& aLoad)
{
  std::map<TargetId, Listed>& held = services_[aService];
  std::map<TargetId, Listed> listed;
  for (const FleetTarget& target : aTargets) {
    const auto before = held.find(target.spec.id);
    const bool same = before != held.end() &&
                      before->second.incarnation == target.spec.incarnation;
    Listed entry =
      same ? before->second : Listed{ target.spec.incarnation, aNow, false };
    entry.warm |=
      HasWarmedUp(aNow, entry.since, aWarmUp, aLoad.Find(target.spec.id));
    listed.emplace(target.spec.id, entry);
  }
  held = std::move(listed);
}

bool TargetReadiness::HasWarmedUp(TimePoint aNow,
                                  TimePoint aSince,
                                  Duration aWarmUp,
                                  const LoadReading* aReading)
{
  if (aReading != nullptr && aReading->probedAt + kReadingFresh >= aNow) {
    return aReading->state != ReadingState::kUnresponsive &&
           aReading->probedAt + aReading->coldLeft <= aNow;
  }
  return aSince + aWarmUp <= aNow;
}

bool TargetReadiness::IsWarm(const FleetTarget& aTarget) const
{
  const auto service = services_.find(aTarget.spec.service);
  if (service == services_.end()) {
    return false;
  }
  const auto listed = service->second.find(aTarget.spec.id);
  return listed != service->second.end() && listed->second.warm;
}

double TargetReadiness::BusySlots(const std::vector<FleetTarget>& aTargets,
                                  const LoadSnapshot& aLoad)
{
  double busy = 0;
  std::size_t read = 0;
  for (const FleetTarget& target : aTargets) {
    const LoadReading* reading = aLoad.Find(target.spec.id);
    if (reading != nullptr && reading->load) {
      busy += reading->load->running + reading->load->waiting;
      ++read;
    }
  }
  return read == 0 ? 0
                   : busy * static_cast<double>(aTargets.size()) /
                       static_cast<double>(read);
}

} // namespace lacewing
