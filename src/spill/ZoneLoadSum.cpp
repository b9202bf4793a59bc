#include "spill/ZoneLoadSum.h"

#include <algorithm>
#include <cmath>

namespace lacewing {

namespace {

// As for the choice of a target; owners send readings several times per second.
constexpr Duration kReadingFresh = std::chrono::seconds(2);

bool Counts(const LoadReading* aReading, TimePoint aNow)
{
  return aReading != nullptr && aReading->load &&
         aReading->state == ReadingState::kServing &&
         aReading->coldLeft <= Duration(0) &&
         aReading->measuredAt + kReadingFresh > aNow;
}

} // namespace

std::vector<ZoneLoad> SumZoneLoads(const FleetSnapshot& aFleet,
                                   const LoadSnapshot& aLoad,
                                   TimePoint aNow)
{
  std::vector<ZoneLoad> loads;
  for (const auto& [service, targets] : aFleet.targets) {
    ZoneLoad sum;
    sum.service = service;
    double slowdown = 0;
    double ages = 0;
    unsigned counted = 0;
    for (const FleetTarget& target : targets) {
      const LoadReading* reading =
        target.local ? aLoad.Find(target.spec.id) : nullptr;
      if (!Counts(reading, aNow)) {
        continue;
      }
      const TargetLoad& load = *reading->load;
      sum.slots += load.slots;
      sum.busy += load.running + load.waiting;
      slowdown += static_cast<double>(load.slots) * load.slowdownPercent;
      const Duration age = std::max(aNow - reading->measuredAt, Duration(0));
      ages += static_cast<double>(age.count());
      ++counted;
    }
    if (sum.slots > 0) {
      sum.slowdownPercent =
        static_cast<std::uint32_t>(std::lround(slowdown / sum.slots));
      sum.age = Duration(std::llround(ages / counted));
      loads.push_back(sum);
    }
  }
  return loads;
}

} // namespace lacewing
