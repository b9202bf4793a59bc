#include "metrics/LatencyHistogram.h"

#include <algorithm>
#include <cmath>

namespace lacewing {

namespace {

constexpr double kLowestSeconds = 10e-6;
constexpr double kHighestSeconds = 100.0;
constexpr unsigned kBins = 814; // ln(1e7) / ln(1.02)

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

Duration FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

} // namespace

LatencyHistogram::LatencyHistogram()
  : histogram_(std::make_tuple(Axis(kBins, kLowestSeconds, kHighestSeconds)),
               Storage())
{
}

void LatencyHistogram::Add(Duration aDuration)
{
  histogram_(std::max(Seconds(aDuration), kLowestSeconds));
  ++count_;
  sum_ += aDuration;
}

void LatencyHistogram::Merge(const LatencyHistogram& aOther)
{
  histogram_ += aOther.histogram_;
  count_ += aOther.count_;
  sum_ += aOther.sum_;
}

Duration LatencyHistogram::Quantile(double aShare) const
{
  if (count_ == 0) {
    return Duration(0);
  }
  const double wanted = std::ceil(aShare * static_cast<double>(count_));
  std::uint64_t seen = 0;
  for (auto&& bin : boost::histogram::indexed(histogram_)) {
    seen += *bin;
    if (static_cast<double>(seen) >= wanted) {
      return FromSeconds(bin.bin(0).upper());
    }
  }
  return FromSeconds(kHighestSeconds);
}

std::uint64_t LatencyHistogram::CountUpTo(Duration aBound) const
{
  const double bound = Seconds(aBound);
  std::uint64_t seen = 0;
  for (auto&& bin : boost::histogram::indexed(histogram_)) {
    if (bin.bin(0).lower() >= bound) {
      break;
    }
    seen += *bin;
  }
  return seen;
}

} // namespace lacewing
