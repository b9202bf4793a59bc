#ifndef GATEWAY_ROUTESTATISTICS_H
#define GATEWAY_ROUTESTATISTICS_H

#include "catalog/RouteSpec.h"
#include "lacewing/ByteCount.h"
#include "lacewing/Clock.h"

namespace lacewing {

/** What a route's answers have shown: usual work and size. */
class RouteLearning
{
public:
  explicit RouteLearning(const RouteSpec& aRoute);

  /** An answer came after aLatency from a target slowed to aPercent. */
  void OnAnswer(Duration aLatency, unsigned aPercent, ByteCount aBytes);

  Duration UsualWork() const { return work_; }
  ByteCount AnswerBytes() const { return ByteCount(bytes_); }

private:
  Duration work_;
  std::uint64_t bytes_ = 0;
};

} // namespace lacewing

#endif // GATEWAY_ROUTESTATISTICS_H
