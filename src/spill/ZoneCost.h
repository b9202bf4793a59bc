#ifndef SPILL_ZONECOST_H
#define SPILL_ZONECOST_H

#include "lacewing/ByteCount.h"
#include "lacewing/Clock.h"

namespace lacewing {

/** What a request costs in another zone, expressed as time of its caller. */
struct ZoneCost
{
  /**
   * Transit time there and back that the price per request does not include.
   */
  Duration transit{ 0 };
  // The defaults equal the fixed penalty of TargetChooser.cpp, whose part per
  // request includes the transit time.
  Duration pricePerRequest = std::chrono::milliseconds(6);
  Duration pricePerKilobyte = std::chrono::microseconds(2500);

  /** Cost of a request that has aBytes with its response. */
  Duration Of(ByteCount aBytes) const
  {
    constexpr double kKilobyte = 1000;
    return transit + pricePerRequest +
           std::chrono::duration_cast<Duration>(
             pricePerKilobyte *
             (static_cast<double>(aBytes.value()) / kKilobyte));
  }
};

} // namespace lacewing

#endif // SPILL_ZONECOST_H
