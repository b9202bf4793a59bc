#ifndef METRICS_LATENCYHISTOGRAM_H
#define METRICS_LATENCYHISTOGRAM_H

#include "lacewing/Clock.h"

#include <boost/histogram.hpp>

#include <cstdint>

namespace lacewing {

/**
 * Counts durations from 10 us to 100 s in logarithmic bins of about 2 %.
 * A plain value: copied between threads and added up.
 */
class LatencyHistogram
{
public:
  LatencyHistogram();

  void Add(Duration aDuration);
  void Merge(const LatencyHistogram& aOther);

  std::uint64_t Count() const { return count_; }
  Duration Sum() const { return sum_; }

  /** The duration below which aShare (0 to 1) of all lie; zero when empty. */
  Duration Quantile(double aShare) const;

  /** How many durations lie at or below aBound, to the width of a bin. */
  std::uint64_t CountUpTo(Duration aBound) const;

private:
  using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
  using Storage = boost::histogram::dense_storage<std::uint64_t>;
  using Histogram = boost::histogram::histogram<std::tuple<Axis>, Storage>;

  Histogram histogram_;
  std::uint64_t count_ = 0;
  Duration sum_{ 0 };
};

} // namespace lacewing

#endif // METRICS_LATENCYHISTOGRAM_H
