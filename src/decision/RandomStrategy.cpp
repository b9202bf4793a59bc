#include "decision/PickRandom.h"
#include "decision/RoutingStrategyPriv.h"

namespace lacewing {

namespace {

class RandomStrategy final : public RoutingStrategy
{
public:
  std::optional<std::size_t> Pick(const RoutingContext& aContext) override
  {
    return PickRandom(aContext);
  }
};

} // namespace

std::unique_ptr<RoutingStrategy> MakeRandomStrategy()
{
  return std::make_unique<RandomStrategy>();
}

} // namespace lacewing
