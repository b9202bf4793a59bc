#include "decision/PickRandom.h"
#include "decision/RoutingStrategyPriv.h"

#include <algorithm>

namespace lacewing {

namespace {

// Observations older than this say nothing about the present load.
constexpr Duration kMostAge = std::chrono::milliseconds(200);
constexpr std::size_t kPoolSize = 16;

/**
 * Chooses among the most recent observations: the fewest requests in flight
 * first, then the lowest latency. Answers bring the observations, so that no
 * probes are needed.
 */
class ProbePoolStrategy final : public RoutingStrategy
{
public:
  std::optional<std::size_t> Pick(const RoutingContext& aContext) override
  {
    pool_.clear();
    for (std::size_t i = 0; i < aContext.targets.size(); ++i) {
      const TargetView& target = *aContext.targets[i];
      const Duration age = aContext.now - target.Report().time;
      if (age <= kMostAge && aContext.Allows(i)) {
        pool_.push_back({ age, i });
      }
    }
    if (pool_.empty()) {
      return PickRandom(aContext);
    }
    const std::size_t size = std::min(kPoolSize, pool_.size());
    std::partial_sort(
      pool_.begin(), pool_.begin() + static_cast<long>(size), pool_.end());
    const auto best = std::min_element(
      pool_.begin(),
      pool_.begin() + static_cast<long>(size),
      [&](const Observation& aLeft, const Observation& aRight) {
        return Rank(aContext, aLeft) < Rank(aContext, aRight);
      });
    return best->second;
  }

private:
  using Observation = std::pair<Duration, std::size_t>;

  static std::pair<double, Duration> Rank(const RoutingContext& aContext,
                                          const Observation& aObservation)
  {
    const TargetView& target = *aContext.targets[aObservation.second];
    // Own requests sent since the report are added, so that one good report
    // does not draw all requests.
    return { target.Report().load * aContext.slots.value() +
               target.SentSinceReport() + aContext.Penalty(target),
             target.Latency() };
  }

  std::vector<Observation> pool_;
};

} // namespace

std::unique_ptr<RoutingStrategy> MakeProbePoolStrategy()
{
  return std::make_unique<ProbePoolStrategy>();
}

} // namespace lacewing
