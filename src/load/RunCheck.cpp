#include "load/RunCheck.h"

#include "load/Verdict.h"

#include <fmt/format.h>

#include <fstream>
#include <unordered_map>
#include <utility>

namespace lacewing {

namespace {

/** The runs of one request, by group of targets. */
using RunsByGroup = std::vector<std::uint64_t>;
using RunsById = std::unordered_map<std::string, RunsByGroup>;

Outcome<nlohmann::json> ReadJson(const std::string& aFile)
{
  nlohmann::json json =
    nlohmann::json::parse(std::ifstream(aFile), nullptr, false);
  if (!json.is_object()) {
    return Fail(ErrorKind::kInvalidArgument,
                aFile + " holds no JSON object",
                "give a file of the load tool or of a stand-in's /stats");
  }
  return json;
}

/** Calls aVisit with each line of JSON; other lines are an error. */
template<class Visitor>
Outcome<void> ForEachLine(const std::string& aFile, Visitor aVisit)
{
  std::ifstream stream(aFile);
  if (!stream) {
    return Fail(
      ErrorKind::kInvalidArgument, aFile + " cannot be read", "check the path");
  }
  for (std::string line; std::getline(stream, line);) {
    const nlohmann::json json = nlohmann::json::parse(line, nullptr, false);
    if (!json.is_object()) {
      return Fail(ErrorKind::kInvalidArgument,
                  aFile + " has a line that is no JSON object",
                  "give a file of --records or of a stand-in's /runs");
    }
    aVisit(json);
  }
  return outcome::success();
}

/** The value of "id=" in a query. */
std::string IdOf(const std::string& aPath)
{
  constexpr std::string_view kName = "id=";
  const std::size_t start = aPath.find(kName);
  if (start == std::string::npos) {
    return {};
  }
  const std::size_t value = start + kName.size();
  return aPath.substr(value, aPath.find('&', value) - value);
}

Outcome<RunsById> ReadRuns(const std::vector<std::string>& aFiles)
{
  RunsById runs;
  for (std::size_t group = 0; group < aFiles.size(); ++group) {
    BOOST_OUTCOME_TRY(
      ForEachLine(aFiles[group], [&](const nlohmann::json& aRun) {
        RunsByGroup& counts = runs[IdOf(aRun.value("path", ""))];
        counts.resize(aFiles.size());
        ++counts[group];
      }));
  }
  return runs;
}

bool IsIdempotent(const std::string& aMethod)
{
  return aMethod == "GET" || aMethod == "HEAD";
}

void Add(PhaseCheck& aPhase,
         const nlohmann::json& aRecord,
         const RunsByGroup& aRuns)
{
  std::uint64_t total = 0;
  for (std::size_t group = 0; group < aRuns.size(); ++group) {
    aPhase.runs[group] += aRuns[group];
    total += aRuns[group];
  }
  const std::string outcome = aRecord.value("outcome", "");
  const bool idempotent = IsIdempotent(aRecord.value("method", ""));
  aPhase.doubled += !idempotent && total > 1 ? 1 : 0;
  aPhase.falselyNotRun +=
    outcome == ToString(Verdict::kNotRun) && total > 0 ? 1 : 0;
  aPhase.neverRun += outcome == ToString(Verdict::kWhole) && total == 0 ? 1 : 0;
}

Outcome<double> ReadProbeShare(const std::vector<std::string>& aFiles)
{
  double probes = 0;
  double runs = 0;
  for (const std::string& file : aFiles) {
    BOOST_OUTCOME_TRY(const nlohmann::json stats, ReadJson(file));
    for (const nlohmann::json& target :
         stats.value("targets", nlohmann::json::array())) {
      probes += target.value("probe_ms", 0.0);
      runs += target.value("run_ms", 0.0);
    }
  }
  constexpr double kPercent = 100;
  return probes + runs > 0 ? kPercent * probes / (probes + runs) : 0.0;
}

} // namespace

Outcome<RunCheck> RunCheck::Make(const RunCheckInput& aInput)
{
  RunCheck check;
  BOOST_OUTCOME_TRY(check.result_, ReadJson(aInput.result));
  BOOST_OUTCOME_TRY(const RunsById runs, ReadRuns(aInput.runs));
  BOOST_OUTCOME_TRY(check.probeShare_, ReadProbeShare(aInput.stats));
  const RunsByGroup none(aInput.runs.size());
  BOOST_OUTCOME_TRY(
    ForEachLine(aInput.records, [&](const nlohmann::json& aRecord) {
      PhaseCheck& phase = check.phases_[aRecord.value("phase", "")];
      phase.runs.resize(aInput.runs.size());
      const auto found = runs.find(aRecord.value("id", ""));
      Add(phase, aRecord, found == runs.end() ? none : found->second);
    }));
  return check;
}

bool RunCheck::Passed() const
{
  for (const auto& [name, phase] : phases_) {
    if (!phase.Passed()) {
      return false;
    }
  }
  return true;
}

PhaseCheck RunCheck::Phase(const std::string& aName) const
{
  const auto found = phases_.find(aName);
  return found == phases_.end() ? PhaseCheck() : found->second;
}

std::string RunCheck::ToTable() const
{
  constexpr const char* kHeader =
    "{:<14}{:>8}{:>8}{:>9}{:>9}{:>10}{:>10}{:>9}{:>13}{:>11}  {}\n";
  std::string table = fmt::format(kHeader,
                                  "phase",
                                  "sent",
                                  "whole",
                                  "not-run",
                                  "unknown",
                                  "p50 ms",
                                  "p99 ms",
                                  "doubled",
                                  "false-notrun",
                                  "never-run",
                                  "runs by group");
  for (const nlohmann::json& phase : result_.at("phases")) {
    const std::string name = phase.at("name");
    const PhaseCheck check = Phase(name);
    std::string runs;
    for (const std::uint64_t count : check.runs) {
      runs += fmt::format("{:>8}", count);
    }
    const nlohmann::json& latency = phase.at("latency_ms");
    table += fmt::format(
      "{:<14}{:>8}{:>8}{:>9}{:>9}{:>10.2f}{:>10.2f}{:>9}{:>13}{:>11}  {}\n",
      name,
      phase.value("sent", 0),
      phase.value("answered_whole", 0),
      phase.value("not_run", 0),
      phase.value("unknown", 0),
      latency.value("p50", 0.0),
      latency.value("p99", 0.0),
      check.doubled,
      check.falselyNotRun,
      check.neverRun,
      runs);
  }
  return table + fmt::format("probes took {:.2f} % of the slot time used\n",
                             probeShare_);
}

} // namespace lacewing
