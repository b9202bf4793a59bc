#include "load/HtmlReport.h"

#include "load/ResultTable.h"
#include "load/SvgChart.h"

#include <fmt/format.h>

#include <array>

namespace lacewing {

namespace {

struct Line
{
  const char* name;
  const char* colour;
  const char* pointer;
};

constexpr std::array<Line, 3> kLatencyLines{ {
  { "p99.9", "#c0392b", "/latency_ms/p99.9" },
  { "p99", "#d68910", "/latency_ms/p99" },
  { "p50", "#2471a3", "/latency_ms/p50" },
} };

constexpr std::array<Line, 5> kEndLines{ {
  { "errors", "#c0392b", "/errors" },
  { "unknown", "#8e44ad", "/unknown" },
  { "not run", "#d68910", "/not_run" },
  { "whole", "#1e8449", "/answered_whole" },
  { "sent", "#2471a3", "/sent" },
} };

Duration FromMilliseconds(double aMilliseconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(aMilliseconds));
}

template<class Lines>
SvgChart MakeChart(const nlohmann::json& aResult,
                   const char* aTitle,
                   const Lines& aLines)
{
  SvgChart chart;
  chart.title = aTitle;
  chart.step = FromMilliseconds(aResult.value("slice_ms", 1000.0));
  const nlohmann::json slices =
    aResult.value("slices", nlohmann::json::array());
  for (const Line& line : aLines) {
    ChartLine made{ line.name, line.colour, {} };
    for (const nlohmann::json& slice : slices) {
      made.values.push_back(
        slice.value(nlohmann::json::json_pointer(line.pointer), 0.0));
    }
    chart.lines.push_back(std::move(made));
  }
  for (const nlohmann::json& event :
       aResult.value("timeline", nlohmann::json::array())) {
    chart.marks.push_back(FromMilliseconds(event.value("at_ms", 0.0)));
  }
  return chart;
}

std::string MakeTimeline(const nlohmann::json& aResult)
{
  std::string lines;
  for (const nlohmann::json& event :
       aResult.value("timeline", nlohmann::json::array())) {
    lines += EscapeMarkup(event.dump()) + "\n";
  }
  return lines;
}

} // namespace

std::string MakeHtmlReport(const nlohmann::json& aResult)
{
  SvgChart latency =
    MakeChart(aResult, "latency of whole answers, ms", kLatencyLines);
  latency.logarithmic = true;
  const SvgChart ends =
    MakeChart(aResult, "requests in each stretch", kEndLines);
  return fmt::format("<!DOCTYPE html>\n<html><head><meta charset=\"utf-8\">"
                     "<title>lacewing-load</title></head>\n<body>\n"
                     "<pre>{}</pre>\n{}{}<h2>Timeline</h2>\n<pre>{}</pre>\n"
                     "</body></html>\n",
                     EscapeMarkup(MakeResultTable(aResult)),
                     latency.ToSvg(),
                     ends.ToSvg(),
                     MakeTimeline(aResult));
}

} // namespace lacewing
