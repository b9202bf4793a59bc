#ifndef LOAD_CHARTLINE_H
#define LOAD_CHARTLINE_H

#include <string>
#include <vector>

namespace lacewing {

/** One line of a chart; values lie at equal distances on the time axis. */
struct ChartLine
{
  std::string name;
  /** A colour of CSS. */
  std::string colour;
  std::vector<double> values;
};

} // namespace lacewing

#endif // LOAD_CHARTLINE_H
