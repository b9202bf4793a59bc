#include "check/CheckResult.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace lacewing {

namespace {

using nlohmann::json;

std::size_t CountOf(const Findings& aFindings, FindingSeverity aSeverity)
{
  return static_cast<std::size_t>(std::count_if(
    aFindings.begin(), aFindings.end(), [aSeverity](const Finding& aFinding) {
      return aFinding.severity == aSeverity;
    }));
}

json FindingJson(const Finding& aFinding)
{
  json finding = { { "severity", ToString(aFinding.severity) },
                   { "place", aFinding.place },
                   { "text", aFinding.text } };
  if (!aFinding.remedy.empty()) {
    finding["remedy"] = aFinding.remedy;
  }
  return finding;
}

} // namespace

std::string TextOf(const CheckResult& aResult)
{
  if (aResult.error) {
    return "error: " + aResult.error->ToString() + "\n";
  }
  std::string text;
  for (const Finding& finding : aResult.findings) {
    text += std::string(ToString(finding.severity)) + ": " + finding.place +
            ": " + finding.text +
            (finding.remedy.empty() ? "" : "; " + finding.remedy) + "\n";
  }
  text +=
    std::to_string(CountOf(aResult.findings, FindingSeverity::kError)) +
    " errors, " +
    std::to_string(CountOf(aResult.findings, FindingSeverity::kDifference)) +
    " differences\n";
  return text;
}

std::string JsonOf(const CheckResult& aResult)
{
  json result = { { "command", "check" },
                  { "exit_code", static_cast<int>(aResult.exit) },
                  { "findings", json::array() } };
  if (aResult.error) {
    result["error"] = { { "kind", ToString(aResult.error->kind) },
                        { "what", aResult.error->what },
                        { "remedy", aResult.error->remedy } };
  }
  for (const Finding& finding : aResult.findings) {
    result["findings"].push_back(FindingJson(finding));
  }
  // Names in the file may hold bytes that are no UTF-8.
  return result.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

} // namespace lacewing
