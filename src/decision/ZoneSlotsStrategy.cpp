#include "decision/RoutingStrategyPriv.h"
#include "decision/ZonePreference.h"

namespace lacewing {

namespace {

// A request that has waited this multiple of the usual answer time takes a
// target with recent failures rather than wait on.
constexpr int kMostWait = 4;

/**
 * Takes the target with the fewest own requests, failures counted as load,
 * among those with a slot that the own requests leave free, and prefers the
 * own zone. Reported loads are not used: when they are some service times
 * old, all hosts move to the same targets at once. Neither are single answer
 * times, since they tell more of the work than of a queue. Preferring the own
 * zone also makes fewer hosts share a target, so that the own requests tell
 * more.
 */
class ZoneSlotsStrategy final : public RoutingStrategy
{
public:
  std::optional<std::size_t> Pick(const RoutingContext& aContext) override
  {
    preference_.Update(aContext);
    Choice free;
    Choice any;
    std::size_t usable = 0;
    std::size_t failing = 0;
    // The first of equal targets is taken; the random start spreads them.
    const std::size_t count = aContext.targets.size();
    std::size_t i = count == 0 ? 0 : aContext.random() % count;
    for (std::size_t seen = 0; seen < count; ++seen, i = Next(i, count)) {
      const TargetView& target = *aContext.targets[i];
      if (!(target.InFlight() < aContext.slots) || !aContext.Allows(i)) {
        continue;
      }
      ++usable;
      const double penalty = aContext.Penalty(target);
      const double own = target.InFlight().value() + penalty;
      const double load = own + (target.InOwnZone() ? 0 : preference_.Value());
      any.Offer(i, load);
      if (own < aContext.slots.value()) {
        free.Offer(i, load);
      }
      failing += penalty >= 1 ? 1 : 0;
    }
    if (free.index) {
      return free.index;
    }
    // When most targets fail, the fault lies elsewhere and failures say
    // nothing about single targets.
    const bool mostFail = 2 * failing > aContext.targets.size();
    const bool waitedLong = aContext.typical > Duration(0) &&
                            aContext.waited > kMostWait * aContext.typical;
    return usable > 0 && (mostFail || waitedLong) ? any.index : std::nullopt;
  }

private:
  /** The least loaded target so far. */
  struct Choice
  {
    std::optional<std::size_t> index;
    double load = 0;

    void Offer(std::size_t aIndex, double aLoad)
    {
      if (!index || aLoad < load) {
        index = aIndex;
        load = aLoad;
      }
    }
  };

  static std::size_t Next(std::size_t aIndex, std::size_t aCount)
  {
    return aIndex + 1 == aCount ? 0 : aIndex + 1;
  }

  ZonePreference preference_;
};

} // namespace

std::unique_ptr<RoutingStrategy> MakeZoneSlotsStrategy()
{
  return std::make_unique<ZoneSlotsStrategy>();
}

} // namespace lacewing
