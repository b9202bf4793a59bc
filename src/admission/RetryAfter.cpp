#include "admission/RetryAfter.h"

namespace lacewing {

namespace {

constexpr int kRetryDivisor = 3;

} // namespace

Duration RetryAfter(Duration aLatencyObjective)
{
  return aLatencyObjective / kRetryDivisor;
}

} // namespace lacewing
