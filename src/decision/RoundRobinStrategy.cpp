#include "decision/RoutingStrategyPriv.h"

namespace lacewing {

namespace {

class RoundRobinStrategy final : public RoutingStrategy
{
public:
  std::optional<std::size_t> Pick(const RoutingContext& aContext) override
  {
    const std::size_t count = aContext.targets.size();
    if (!started_ && count > 0) {
      // Entry hosts that start together must not move in step.
      next_ = aContext.random() % count;
      started_ = true;
    }
    for (std::size_t i = 0; i < count; ++i) {
      const std::size_t index = next_++ % count;
      if (aContext.Allows(index)) {
        return index;
      }
    }
    return std::nullopt;
  }

private:
  bool started_ = false;
  std::size_t next_ = 0;
};

} // namespace

std::unique_ptr<RoutingStrategy> MakeRoundRobinStrategy()
{
  return std::make_unique<RoundRobinStrategy>();
}

} // namespace lacewing
