#include "decision/PickRandom.h"
#include "decision/RoutingStrategyPriv.h"

namespace lacewing {

namespace {

using LoadOf = double (*)(const RoutingContext&, const TargetView&);

/** The load as the target last reported it, however old. */
double ReportedLoad(const RoutingContext& aContext, const TargetView& aTarget)
{
  return aTarget.Report().load * aContext.slots.value() +
         aContext.Penalty(aTarget);
}

/** The report loses weight with age; own requests in flight are exact. */
double AgedLoad(const RoutingContext& aContext, const TargetView& aTarget)
{
  return aContext.InFlight(aTarget) + aContext.Penalty(aTarget);
}

/** Takes the less loaded one of two random targets. */
class TwoChoicesStrategy final : public RoutingStrategy
{
public:
  explicit TwoChoicesStrategy(LoadOf aLoadOf)
    : loadOf_(aLoadOf)
  {
  }

  std::optional<std::size_t> Pick(const RoutingContext& aContext) override
  {
    const auto first = PickRandom(aContext);
    if (!first) {
      return std::nullopt;
    }
    const auto second = PickRandom(aContext, first);
    return loadOf_(aContext, *aContext.targets[*second]) <
               loadOf_(aContext, *aContext.targets[*first])
             ? second
             : first;
  }

private:
  LoadOf loadOf_;
};

} // namespace

std::unique_ptr<RoutingStrategy> MakeTwoChoicesReportedStrategy()
{
  return std::make_unique<TwoChoicesStrategy>(&ReportedLoad);
}

std::unique_ptr<RoutingStrategy> MakeTwoChoicesAgedStrategy()
{
  return std::make_unique<TwoChoicesStrategy>(&AgedLoad);
}

} // namespace lacewing
