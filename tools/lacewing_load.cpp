#include "core/Log.h"
#include "flags/ProgramFlags.h"
#include "load/HtmlReport.h"
#include "load/LoadRun.h"
#include "load/ResultTable.h"
#include "load/RunCheck.h"
#include "load/TomlFile.h"

#include <absl/flags/flag.h>
#include <fmt/format.h>

#include <chrono>
#include <fstream>
#include <iostream>
#include <unistd.h>

ABSL_FLAG(std::string, experiment, "", "TOML file of the experiment");
ABSL_FLAG(std::string, json, "", "file for the results");
ABSL_FLAG(std::string, records, "", "file for one line a request");
ABSL_FLAG(std::size_t, threads, 1, "threads that send requests");
ABSL_FLAG(std::string, id_prefix, "", "start of the request ids");
ABSL_FLAG(std::vector<std::string>,
          entries,
          {},
          "addresses of entry hosts, instead of those of the experiment");
ABSL_FLAG(std::optional<std::uint64_t>, seed, std::nullopt, "random seed");
ABSL_FLAG(std::optional<double>,
          rate,
          std::nullopt,
          "requests a second of every phase");
ABSL_FLAG(std::optional<double>,
          duration_ms,
          std::nullopt,
          "length of every phase");
ABSL_FLAG(std::optional<std::string>,
          shape,
          std::nullopt,
          "even, poisson or bursts, in every phase");
ABSL_FLAG(bool, direct, false, "the entries are targets");
ABSL_FLAG(std::vector<std::string>,
          runs,
          {},
          "files with /runs of stand-in targets, for check");
ABSL_FLAG(std::vector<std::string>,
          stats,
          {},
          "files with /stats of stand-in targets, for check");
ABSL_FLAG(std::string,
          request,
          R"({"service":"registro"})",
          "request of a run without an experiment, as JSON");

namespace lacewing {

namespace {

// Distinguishes wrong answers from a run that could not be made.
constexpr int kWrongAnswers = 3;
constexpr int kNoRun = 1;

template<class T>
void SetIfGiven(nlohmann::json& aObject,
                const char* aName,
                const std::optional<T>& aValue)
{
  if (aValue) {
    aObject[aName] = *aValue;
  }
}

Outcome<nlohmann::json> ReadExperiment()
{
  nlohmann::json json = {
    { "phase", { { { "name", "load" } } } },
    { "request",
      { nlohmann::json::parse(absl::GetFlag(FLAGS_request), nullptr, false) } }
  };
  if (const std::string file = absl::GetFlag(FLAGS_experiment); !file.empty()) {
    BOOST_OUTCOME_TRY(json, ReadTomlFile(file));
  }
  const std::vector<std::string> entries = absl::GetFlag(FLAGS_entries);
  if (!entries.empty()) {
    json["entry"] = nlohmann::json::array();
    for (const std::string& entry : entries) {
      json["entry"].push_back({ { "address", entry } });
    }
  }
  for (nlohmann::json& phase : json["phase"]) {
    SetIfGiven(phase, "rate", absl::GetFlag(FLAGS_rate));
    SetIfGiven(phase, "duration_ms", absl::GetFlag(FLAGS_duration_ms));
    SetIfGiven(phase, "shape", absl::GetFlag(FLAGS_shape));
  }
  SetIfGiven(json, "seed", absl::GetFlag(FLAGS_seed));
  if (absl::GetFlag(FLAGS_direct)) {
    json["direct"] = true;
  }
  return json;
}

/** Differs from run to run, so that checkers never mix two runs up. */
std::string MakeIdPrefix()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return fmt::format(
    "{:x}-{:x}",
    std::chrono::duration_cast<std::chrono::milliseconds>(now).count(),
    getpid());
}

Outcome<void> WriteFile(const std::string& aFile, const std::string& aText)
{
  std::ofstream file(aFile);
  file << aText;
  file.close();
  if (!file) {
    return Fail(ErrorKind::kUnavailable,
                "cannot write " + aFile,
                "choose a file in a folder with free space");
  }
  return outcome::success();
}

Outcome<nlohmann::json> ReadResult(const char* aFile)
{
  nlohmann::json json =
    nlohmann::json::parse(std::ifstream(aFile), nullptr, false);
  if (!json.is_object() || !json.contains("phases")) {
    return Fail(ErrorKind::kInvalidArgument,
                std::string(aFile) + " holds no results",
                "give a file that --json wrote");
  }
  return json;
}

Outcome<int> Run(const std::vector<char*>&)
{
  BOOST_OUTCOME_TRY(nlohmann::json json, ReadExperiment());
  BOOST_OUTCOME_TRY(const auto experiment,
                    LoadExperiment::Make(std::move(json)));
  LoadRunOptions options;
  options.threads = std::max<std::size_t>(1, absl::GetFlag(FLAGS_threads));
  options.idPrefix = absl::GetFlag(FLAGS_id_prefix);
  if (options.idPrefix.empty()) {
    options.idPrefix = MakeIdPrefix();
  }
  options.recordsFile = absl::GetFlag(FLAGS_records);
  BOOST_OUTCOME_TRY(const nlohmann::json result, RunLoad(experiment, options));
  std::cout << MakeResultTable(result);
  if (const std::string file = absl::GetFlag(FLAGS_json); !file.empty()) {
    BOOST_OUTCOME_TRY(WriteFile(file, result.dump(2) + "\n"));
  }
  const nlohmann::json& total = result["total"];
  return total["mismatched"] != 0 || total["short"] != 0 ? kWrongAnswers : 0;
}

Outcome<int> Compare(const std::vector<char*>& aArguments)
{
  if (aArguments.size() != 2) {
    return Fail(ErrorKind::kInvalidArgument,
                "compare needs two files",
                "write: lacewing-load compare A.json B.json");
  }
  BOOST_OUTCOME_TRY(const nlohmann::json first, ReadResult(aArguments[0]));
  BOOST_OUTCOME_TRY(const nlohmann::json second, ReadResult(aArguments[1]));
  std::cout << "ratios of " << aArguments[1] << " to " << aArguments[0] << "\n"
            << MakeComparison(first, second);
  return 0;
}

Outcome<int> Report(const std::vector<char*>& aArguments)
{
  if (aArguments.size() != 2) {
    return Fail(ErrorKind::kInvalidArgument,
                "report needs the results and the file to write",
                "write: lacewing-load report A.json A.html");
  }
  BOOST_OUTCOME_TRY(const nlohmann::json result, ReadResult(aArguments[0]));
  BOOST_OUTCOME_TRY(WriteFile(aArguments[1], MakeHtmlReport(result)));
  return 0;
}

Outcome<int> Check(const std::vector<char*>&)
{
  RunCheckInput input;
  input.result = absl::GetFlag(FLAGS_json);
  input.records = absl::GetFlag(FLAGS_records);
  input.runs = absl::GetFlag(FLAGS_runs);
  input.stats = absl::GetFlag(FLAGS_stats);
  BOOST_OUTCOME_TRY(const RunCheck check, RunCheck::Make(input));
  std::cout << check.ToTable();
  return check.Passed() ? 0 : kWrongAnswers;
}

struct Command
{
  std::string_view name;
  Outcome<int> (*run)(const std::vector<char*>& aArguments);
};

constexpr Command kCommands[] = {
  { "run", &Run },
  { "compare", &Compare },
  { "report", &Report },
  { "check", &Check },
};

Outcome<int> RunCommand(std::vector<char*> aArguments)
{
  const std::string name = aArguments.empty() ? "run" : aArguments[0];
  if (!aArguments.empty()) {
    aArguments.erase(aArguments.begin());
  }
  for (const Command& command : kCommands) {
    if (command.name == name) {
      return command.run(aArguments);
    }
  }
  return Fail(ErrorKind::kInvalidArgument,
              "there is no command \"" + name + "\"",
              "write run, compare, report or check");
}

} // namespace

} // namespace lacewing

int main(int aCount, char** aArguments)
{
  const std::vector<char*> arguments = lacewing::ParseProgramFlags(
    "lacewing-load",

    "Open-loop load: lacewing-load [run] --experiment=FILE, or "
    "lacewing-load compare A.json B.json, lacewing-load report A.json A.html, "
    "or lacewing-load check --json=FILE --records=FILE --runs=FILE,... "
    "--stats=FILE,...",
    aCount,
    aArguments);
  lacewing::StartLogging(lacewing::LogLevel::kInfo);
  const lacewing::Outcome<int> run = lacewing::RunCommand(arguments);
  if (!run) {
    lacewing::Log(lacewing::LogLevel::kError,
                  "load",
                  { { "error", run.error().ToString() } });
    return lacewing::kNoRun;
  }
  return run.value();
}
