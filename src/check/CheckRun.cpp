#include "check/CheckRun.h"

#include "check/ConfigurationCheck.h"
#include "check/ConfigurationDifferences.h"
#include "check/ConfigurationFile.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lacewing {

namespace {

CheckResult Unreadable(Error aError)
{
  CheckResult result;
  result.exit = CheckExit::kUnreadable;
  result.error = std::move(aError);
  return result;
}

CheckExit ExitOf(const Findings& aFindings)
{
  if (aFindings.empty()) {
    return CheckExit::kInOrder;
  }
  const bool anyError =
    std::any_of(aFindings.begin(), aFindings.end(), [](const Finding& aEach) {
      return aEach.severity == FindingSeverity::kError;
    });
  return anyError ? CheckExit::kErrors : CheckExit::kDifferences;
}

void Append(Findings aMore, Findings& aFindings)
{
  std::move(aMore.begin(), aMore.end(), std::back_inserter(aFindings));
}

} // namespace

CheckResult RunCheck(const ConfigurationReader& aReader,
                     const std::string& aText,
                     const std::optional<std::string>& aCurrent)
{
  auto next = aReader.Read(aText);
  if (!next) {
    return Unreadable(next.error());
  }
  CheckResult result;
  result.findings = std::move(next.value().findings);
  const auto& spec = next.value().spec;
  if (spec) {
    Append(CheckConfiguration(*spec), result.findings);
  }
  if (aCurrent) {
    const auto current = aReader.Read(*aCurrent);
    if (!current) {
      return Unreadable(current.error());
    }
    if (spec && current.value().spec) {
      Append(CompareConfigurations(*current.value().spec, *spec),
             result.findings);
    }
  }
  result.exit = ExitOf(result.findings);
  return result;
}

CheckResult RunCheckCommand(const ConfigurationReader& aReader,
                            const std::vector<std::string>& aArguments,
                            const std::string& aAgainst)
{
  if (aArguments.size() != 1) {
    return Unreadable(
      { ErrorKind::kInvalidArgument,
        std::to_string(aArguments.size()) + " files are named, not 1",
        "write lacewingctl check CONFIG [--against CURRENT]" });
  }
  auto text = ReadConfigurationText(aArguments.front());
  if (!text) {
    return Unreadable(text.error());
  }
  std::optional<std::string> current;
  if (!aAgainst.empty()) {
    auto currentText = ReadConfigurationText(aAgainst);
    if (!currentText) {
      return Unreadable(currentText.error());
    }
    current = std::move(currentText).value();
  }
  return RunCheck(aReader, text.value(), current);
}

} // namespace lacewing
