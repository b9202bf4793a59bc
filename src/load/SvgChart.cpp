#include "load/SvgChart.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace lacewing {

namespace {

constexpr double kWidth = 900;
constexpr double kHeight = 260;
constexpr double kLeft = 60;
constexpr double kTop = 30;
constexpr double kRight = kWidth - 10;
constexpr double kBottom = kHeight - 30;
// Latencies in milliseconds below this are not told apart.
constexpr double kSmallest = 0.1;
constexpr int kLinearTicks = 4;

/** Places values on the vertical axis and chooses its ticks. */
class Axis
{
public:
  Axis(const std::vector<ChartLine>& aLines, bool aLogarithmic)
    : logarithmic_(aLogarithmic)
  {
    double largest = aLogarithmic ? 10 * kSmallest : 1;
    for (const ChartLine& line : aLines) {
      for (const double value : line.values) {
        largest = std::max(largest, value);
      }
    }
    top_ = aLogarithmic ? std::pow(10, std::ceil(std::log10(largest)))
                        : largest * 1.05;
  }

  double Y(double aValue) const
  {
    const double share = logarithmic_
                           ? std::log(std::max(aValue, kSmallest) / kSmallest) /
                               std::log(top_ / kSmallest)
                           : aValue / top_;
    return kBottom - share * (kBottom - kTop);
  }

  std::vector<double> Ticks() const
  {
    std::vector<double> ticks;
    if (logarithmic_) {
      for (double tick = kSmallest; tick <= top_ * 1.01; tick *= 10) {
        ticks.push_back(tick);
      }
      return ticks;
    }
    for (int i = 0; i <= kLinearTicks; ++i) {
      ticks.push_back(top_ * i / kLinearTicks);
    }
    return ticks;
  }

private:
  bool logarithmic_;
  double top_;
};

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

std::string Text(double aX, double aY, const char* aAnchor, std::string aText)
{
  return fmt::format(
    "<text x=\"{:.1f}\" y=\"{:.1f}\" text-anchor=\"{}\">{}</text>\n",
    aX,
    aY,
    aAnchor,
    EscapeMarkup(aText));
}

std::string Rule(double aX1,
                 double aY1,
                 double aX2,
                 double aY2,
                 const char* aColour)
{
  return fmt::format("<line x1=\"{:.1f}\" y1=\"{:.1f}\" x2=\"{:.1f}\" "
                     "y2=\"{:.1f}\" stroke=\"{}\"/>\n",
                     aX1,
                     aY1,
                     aX2,
                     aY2,
                     aColour);
}

} // namespace

std::string EscapeMarkup(const std::string& aText)
{
  std::string escaped;
  for (const char c : aText) {
    switch (c) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

std::string SvgChart::ToSvg() const
{
  std::size_t count = 1;
  for (const ChartLine& line : lines) {
    count = std::max(count, line.values.size());
  }
  const double length = Seconds(step) * static_cast<double>(count);
  const auto x = [length](double aSeconds) {
    return kLeft + aSeconds / length * (kRight - kLeft);
  };
  const Axis axis(lines, logarithmic);
  std::string svg = fmt::format(
    "<svg viewBox=\"0 0 {} {}\" width=\"{}\" font-family=\"sans-serif\" "
    "font-size=\"11\">\n",
    kWidth,
    kHeight,
    kWidth);
  svg += Text(kLeft, kTop - 12, "start", title);
  for (const double tick : axis.Ticks()) {
    svg += Rule(kLeft, axis.Y(tick), kRight, axis.Y(tick), "#ddd");
    svg += Text(kLeft - 6, axis.Y(tick) + 4, "end", fmt::format("{:g}", tick));
  }
  svg += Text(kLeft, kBottom + 18, "start", "0 s");
  svg += Text(kRight, kBottom + 18, "end", fmt::format("{:g} s", length));
  for (const Duration mark : marks) {
    svg += Rule(x(Seconds(mark)), kTop, x(Seconds(mark)), kBottom, "#999");
  }
  double legend = kRight;
  for (const ChartLine& line : lines) {
    std::string points;
    for (std::size_t i = 0; i < line.values.size(); ++i) {
      points += fmt::format("{:.1f},{:.1f} ",
                            x(Seconds(step) * (static_cast<double>(i) + 0.5)),
                            axis.Y(line.values[i]));
    }
    svg +=
      fmt::format("<polyline fill=\"none\" stroke=\"{}\" points=\"{}\"/>\n",
                  line.colour,
                  points);
    svg += fmt::format("<g fill=\"{}\">{}</g>\n",
                       line.colour,
                       Text(legend, kTop - 12, "end", line.name));
    legend -= 90;
  }
  return svg + "</svg>\n";
}

} // namespace lacewing
