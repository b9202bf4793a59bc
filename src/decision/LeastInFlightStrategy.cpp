#include "decision/RoutingStrategyPriv.h"

namespace lacewing {

namespace {

class LeastInFlightStrategy final : public RoutingStrategy
{
public:
  std::optional<std::size_t> Pick(const RoutingContext& aContext) override
  {
    std::optional<std::size_t> best;
    double least = 0;
    std::uint64_t ties = 0;
    for (std::size_t i = 0; i < aContext.targets.size(); ++i) {
      if (!aContext.Allows(i)) {
        continue;
      }
      const TargetView& target = *aContext.targets[i];
      const double load = target.InFlight().value() + aContext.Penalty(target);
      if (!best || load < least) {
        best = i;
        least = load;
        ties = 1;
      } else if (load == least && aContext.random() % ++ties == 0) {
        best = i;
      }
    }
    return best;
  }
};

} // namespace

std::unique_ptr<RoutingStrategy> MakeLeastInFlightStrategy()
{
  return std::make_unique<LeastInFlightStrategy>();
}

} // namespace lacewing
