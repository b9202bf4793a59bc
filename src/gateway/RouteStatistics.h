#ifndef GATEWAY_ROUTESTATISTICS_H
#define GATEWAY_ROUTESTATISTICS_H

#include "catalog/RouteSpec.h"
#include "lacewing/ByteCount.h"
#include "lacewing/Clock.h"

#include <optional>

namespace lacewing {

/** Moving averages of a route's service time and response size. */
class RouteStatistics
{
public:
  explicit RouteStatistics(const RouteSpec& aRoute);

  /**
   * Records a successful response that arrived after aLatency from a target
   * that needs aSlowdownPercent of its usual time; empty if the target does not
   * report it.
   */
  void OnResponse(Duration aLatency,
                  std::optional<unsigned> aSlowdownPercent,
                  ByteCount aBytes);

  Duration TypicalServiceTime() const { return serviceTime_; }
  ByteCount TypicalResponseSize() const { return ByteCount(responseBytes_); }

private:
  Duration serviceTime_;
  std::uint64_t responseBytes_ = 0;
};

} // namespace lacewing

#endif // GATEWAY_ROUTESTATISTICS_H
