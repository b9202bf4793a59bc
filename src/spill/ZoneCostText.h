#ifndef SPILL_ZONECOSTTEXT_H
#define SPILL_ZONECOSTTEXT_H

#include "lacewing/Outcome.h"
#include "spill/ZoneCost.h"

#include <optional>
#include <string>

namespace lacewing {

/** The settings of traffic between zones, as written on the command line. */
struct ZoneCostText
{
  /** "auto", or "off" for no decision about traffic between zones. */
  std::string mode = "off";
  /** Durations with a unit; they are checked with "off" too. */
  std::string transit = "0 ms";
  std::string pricePerRequest = "6 ms";
  std::string pricePerKilobyte = "2500 us";

  /** Empty with "off". A wrong text gives kInvalidArgument. */
  Outcome<std::optional<ZoneCost>> Parse() const;
};

} // namespace lacewing

#endif // SPILL_ZONECOSTTEXT_H
