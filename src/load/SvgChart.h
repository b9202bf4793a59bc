#ifndef LOAD_SVGCHART_H
#define LOAD_SVGCHART_H

#include "lacewing/Clock.h"
#include "load/ChartLine.h"

#include <string>
#include <vector>

namespace lacewing {

/** A chart of values over time as an SVG element. */
struct SvgChart
{
  std::string title;
  std::vector<ChartLine> lines;
  /** Time between two values of a line. */
  Duration step = std::chrono::seconds(1);
  /** Moments that are marked, for example faults. */
  std::vector<Duration> marks;
  /** Values up to the smallest power of ten lie on the axis. */
  bool logarithmic = false;

  std::string ToSvg() const;
};

/** Replaces the characters that HTML and SVG give a meaning. */
std::string EscapeMarkup(const std::string& aText);

} // namespace lacewing

#endif // LOAD_SVGCHART_H
