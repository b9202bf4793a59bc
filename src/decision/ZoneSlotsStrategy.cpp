#include "decision/RoutingStrategyPriv.h"

namespace lacewing {

namespace {

class ZoneSlotsStrategy final : public RoutingStrategy
{
public:
  std::optional<std::size_t> Pick(const RoutingContext& aContext) override
  {
    std::optional<std::size_t> best;
    double least = 0;
    std::uint64_t ties = 0;
    for (std::size_t i = 0; i < aContext.targets.size(); ++i) {
      const TargetView& target = *aContext.targets[i];
      if (!aContext.Allows(i) || !(target.InFlight() < aContext.slots)) {
        continue;
      }
      const double load = aContext.InFlight(target) + aContext.Penalty(target);
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

std::unique_ptr<RoutingStrategy> MakeZoneSlotsStrategy()
{
  return std::make_unique<ZoneSlotsStrategy>();
}

} // namespace lacewing
