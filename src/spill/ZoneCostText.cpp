#include "spill/ZoneCostText.h"

#include "core/UnitText.h"

namespace lacewing {

Outcome<std::optional<ZoneCost>> ZoneCostText::Parse() const
{
  ZoneCost cost;
  BOOST_OUTCOME_TRY(cost.transit, ParseDuration(transit));
  BOOST_OUTCOME_TRY(cost.pricePerRequest, ParseDuration(pricePerRequest));
  BOOST_OUTCOME_TRY(cost.pricePerKilobyte, ParseDuration(pricePerKilobyte));
  if (mode == "off") {
    return std::optional<ZoneCost>();
  }
  if (mode != "auto") {
    return Fail(ErrorKind::kInvalidArgument,
                "zone_spill is \"" + mode + "\"",
                "set it to auto or off");
  }
  return std::optional<ZoneCost>(cost);
}

} // namespace lacewing
