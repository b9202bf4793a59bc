#include "load/ResultTable.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace lacewing {

namespace {

struct Column
{
  const char* title;
  const char* pointer;
  int decimals;
};

constexpr std::array<Column, 13> kColumns{ {
  { "sent", "/sent", 0 },
  { "whole", "/answered_whole", 0 },
  { "mismatched", "/mismatched", 0 },
  { "short", "/short", 0 },
  { "not-run", "/not_run", 0 },
  { "unknown", "/unknown", 0 },
  { "errors", "/errors", 0 },
  { "p50 ms", "/latency_ms/p50", 2 },
  { "p90 ms", "/latency_ms/p90", 2 },
  { "p99 ms", "/latency_ms/p99", 2 },
  { "p99.9 ms", "/latency_ms/p99.9", 2 },
  { "max ms", "/latency_ms/max", 2 },
  { "lag p99", "/send_lag_ms/p99", 2 },
} };

constexpr int kNameWidth = 16;
constexpr int kColumnWidth = 11;

double Read(const nlohmann::json& aTally, const char* aPointer)
{
  return aTally.value(nlohmann::json::json_pointer(aPointer), 0.0);
}

std::string MakeHeader()
{
  std::string line = fmt::format("{:<{}}", "phase", kNameWidth);
  for (const Column& column : kColumns) {
    line += fmt::format("{:>{}}", column.title, kColumnWidth);
  }
  return line + "\n";
}

std::string MakeRow(const std::string& aName, const nlohmann::json& aTally)
{
  std::string line = fmt::format("{:<{}}", aName, kNameWidth);
  for (const Column& column : kColumns) {
    line += fmt::format("{:>{}.{}f}",
                        Read(aTally, column.pointer),
                        kColumnWidth,
                        column.decimals);
  }
  return line + "\n";
}

std::string MakeRatioRow(const std::string& aName,
                         const nlohmann::json& aFirst,
                         const nlohmann::json& aSecond)
{
  std::string line = fmt::format("{:<{}}", aName, kNameWidth);
  for (const Column& column : kColumns) {
    const double first = Read(aFirst, column.pointer);
    const double second = Read(aSecond, column.pointer);
    if (first != 0) {
      line += fmt::format("{:>{}.3f}", second / first, kColumnWidth);
    } else {
      // Without a first value, a ratio says nothing.
      line += fmt::format("{:>{}}", second == 0 ? "=" : "new", kColumnWidth);
    }
  }
  return line + "\n";
}

} // namespace

std::string MakeResultTable(const nlohmann::json& aResult)
{
  std::string table = MakeHeader();
  for (const nlohmann::json& phase : aResult.at("phases")) {
    table += MakeRow(phase.at("name").get<std::string>(), phase);
  }
  table += MakeRow("total", aResult.at("total"));
  return table;
}

std::string MakeComparison(const nlohmann::json& aFirst,
                           const nlohmann::json& aSecond)
{
  std::string table = MakeHeader();
  const nlohmann::json& first = aFirst.at("phases");
  const nlohmann::json& second = aSecond.at("phases");
  for (std::size_t i = 0; i < std::min(first.size(), second.size()); ++i) {
    table +=
      MakeRatioRow(first[i].at("name").get<std::string>(), first[i], second[i]);
  }
  table += MakeRatioRow("total", aFirst.at("total"), aSecond.at("total"));
  return table;
}

} // namespace lacewing
