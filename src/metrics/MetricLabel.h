#ifndef METRICS_METRICLABEL_H
#define METRICS_METRICLABEL_H

#include <string>
#include <vector>

namespace lacewing {

/** A label of a metric; names are [a-z_], values any text. */
struct MetricLabel
{
  std::string name;
  std::string value;
};

using MetricLabels = std::vector<MetricLabel>;

} // namespace lacewing

#endif // METRICS_METRICLABEL_H
