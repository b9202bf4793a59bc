#ifndef METRICS_METRICSPAGE_H
#define METRICS_METRICSPAGE_H

#include "metrics/LatencyHistogram.h"
#include "metrics/MetricLabel.h"

#include <cstdint>
#include <map>
#include <string>

namespace lacewing {

/** Builds a page in the text exposition format, version 0.0.4. */
class MetricsPage
{
public:
  /** A total that only grows; the name should end in "_total". */
  void AddCounter(const std::string& aName,
                  const std::string& aHelp,
                  const MetricLabels& aLabels,
                  std::uint64_t aValue);

  void AddGauge(const std::string& aName,
                const std::string& aHelp,
                const MetricLabels& aLabels,
                double aValue);

  /** Durations in seconds; the name should end in "_seconds". */
  void AddHistogram(const std::string& aName,
                    const std::string& aHelp,
                    const MetricLabels& aLabels,
                    const LatencyHistogram& aHistogram);

  std::string ToString() const;

private:
  struct Family
  {
    std::string header;
    std::string samples;
  };

  Family& FamilyOf(const std::string& aName,
                   const std::string& aHelp,
                   const char* aType);

  std::map<std::string, Family> families_;
};

} // namespace lacewing

#endif // METRICS_METRICSPAGE_H
