#include "decision/SlowLimit.h"

#include <algorithm>

namespace lacewing {

namespace {

// Services with uniform work: single answers of this multiple of the usual
// time are rare enough to count as slow.
constexpr int kLeastFactor = 5;
// Each slow answer raises the limit by 1/20; 199 others lower it as much.
constexpr int kRaise = 20;
constexpr int kLower = kRaise * 199;

} // namespace

void SlowLimit::Add(Duration aLatency, Duration aTypical)
{
  if (aLatency > limit_) {
    limit_ += limit_ / kRaise;
  } else {
    limit_ -= limit_ / kLower;
  }
  limit_ = std::max(limit_, kLeastFactor * aTypical);
}

} // namespace lacewing
