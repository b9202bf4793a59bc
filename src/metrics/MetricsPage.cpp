#include "metrics/MetricsPage.h"

#include <fmt/format.h>

#include <array>
#include <chrono>

namespace lacewing {

namespace {

using namespace std::chrono_literals;

constexpr std::array<Duration, 18> kBounds{ 50us,  100us, 200us, 500us, 910us,
                                            2ms,   5ms,   10ms,  20ms,  50ms,
                                            100ms, 200ms, 500ms, 1s,    2s,
                                            5s,    10s,   60s };

std::string Escape(const std::string& aValue)
{
  std::string escaped;
  for (const char c : aValue) {
    if (c == '\\' || c == '"') {
      escaped += '\\';
      escaped += c;
    } else if (c == '\n') {
      escaped += "\\n";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

std::string Format(const MetricLabels& aLabels)
{
  std::string text;
  for (const MetricLabel& label : aLabels) {
    text += fmt::format(
      "{}{}=\"{}\"", text.empty() ? "{" : ",", label.name, Escape(label.value));
  }
  return text.empty() ? text : text + "}";
}

MetricLabels With(MetricLabels aLabels, std::string aName, std::string aValue)
{
  aLabels.push_back({ std::move(aName), std::move(aValue) });
  return aLabels;
}

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

MetricsPage::Family& MetricsPage::FamilyOf(const std::string& aName,
                                           const std::string& aHelp,
                                           const char* aType)
{
  Family& family = families_[aName];
  if (family.header.empty()) {
    family.header =
      fmt::format("# HELP {0} {1}\n# TYPE {0} {2}\n", aName, aHelp, aType);
  }
  return family;
}

void MetricsPage::AddCounter(const std::string& aName,
                             const std::string& aHelp,
                             const MetricLabels& aLabels,
                             std::uint64_t aValue)
{
  FamilyOf(aName, aHelp, "counter").samples +=
    fmt::format("{}{} {}\n", aName, Format(aLabels), aValue);
}

void MetricsPage::AddGauge(const std::string& aName,
                           const std::string& aHelp,
                           const MetricLabels& aLabels,
                           double aValue)
{
  FamilyOf(aName, aHelp, "gauge").samples +=
    fmt::format("{}{} {}\n", aName, Format(aLabels), aValue);
}

void MetricsPage::AddHistogram(const std::string& aName,
                               const std::string& aHelp,
                               const MetricLabels& aLabels,
                               const LatencyHistogram& aHistogram)
{
  std::string& samples = FamilyOf(aName, aHelp, "histogram").samples;
  for (const Duration bound : kBounds) {
    samples += fmt::format(
      "{}_bucket{} {}\n",
      aName,
      Format(With(aLabels, "le", fmt::format("{}", Seconds(bound)))),
      aHistogram.CountUpTo(bound));
  }
  samples += fmt::format("{}_bucket{} {}\n",
                         aName,
                         Format(With(aLabels, "le", "+Inf")),
                         aHistogram.Count());
  samples += fmt::format(
    "{}_sum{} {}\n", aName, Format(aLabels), Seconds(aHistogram.Sum()));
  samples +=
    fmt::format("{}_count{} {}\n", aName, Format(aLabels), aHistogram.Count());
}

std::string MetricsPage::ToString() const
{
  std::string text;
  for (const auto& [name, family] : families_) {
    text += family.header + family.samples;
  }
  return text;
}

} // namespace lacewing
