#include "config/RemovalGuard.h"

#include "core/UnitText.h"

#include <set>
#include <string>

namespace lacewing {

namespace {

/** Targets of the service that take new work. */
std::set<TargetId> WorkingTargets(const Configuration& aConfiguration,
                                  const ServiceId& aService)
{
  std::set<TargetId> working;
  const auto service = aConfiguration.services.find(aService);
  if (service == aConfiguration.services.end()) {
    return working;
  }
  for (const TargetConfig& target : service->second->targets) {
    const auto zone = aConfiguration.zones.find(target.zone);
    if (TakesNewWork(target.lifecycle) && zone != aConfiguration.zones.end() &&
        TakesNewWork(zone->second.lifecycle)) {
      working.insert(target.id);
    }
  }
  return working;
}

} // namespace

Outcome<void> CheckRemoval(const Configuration& aBefore,
                           const Configuration& aAfter,
                           BasisPoints aMaxShare)
{
  constexpr std::uint64_t kWhole = 10'000;
  std::string refused;
  for (const auto& [id, service] : aBefore.services) {
    const std::set<TargetId> before = WorkingTargets(aBefore, id);
    const std::set<TargetId> after = WorkingTargets(aAfter, id);
    std::uint64_t lost = 0;
    for (const TargetId& target : before) {
      lost += 1 - after.count(target);
    }
    if (lost * kWhole > before.size() * aMaxShare.value()) {
      refused += (refused.empty() ? "" : ", ") + std::string("service ") +
                 id.value() + " would lose " + std::to_string(lost) + " of " +
                 std::to_string(before.size()) + " targets in service";
    }
  }
  if (!refused.empty()) {
    return Fail(ErrorKind::kRefused,
                refused + "; at most " + FormatShare(aMaxShare) +
                  " may go at once",
                "check the sheet, make the change in smaller steps, or add "
                "--allow-removal");
  }
  return outcome::success();
}

} // namespace lacewing
