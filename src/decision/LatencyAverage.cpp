#include "decision/LatencyAverage.h"

#include <algorithm>

namespace lacewing {

namespace {

constexpr int kMostOfAverage = 4;
// Weight of a new answer is 1/32: about the last 30 answers count.
constexpr int kWeight = 32;

} // namespace

void LatencyAverage::Add(Duration aLatency)
{
  if (average_ == Duration(0)) {
    average_ = aLatency;
    return;
  }
  const Duration bounded = std::min(aLatency, kMostOfAverage * average_);
  average_ += (bounded - average_) / kWeight;
  average_ = std::max(average_, Duration(1));
}

} // namespace lacewing
