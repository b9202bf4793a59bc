#include "core/Log.h"
#include "core/MonotonicClock.h"
#include "flags/ProgramFlags.h"
#include "standin/RunUntilSignal.h"
#include "standin/Target.h"
#include "standin/TargetAdmin.h"
#include "standin/TargetSpecs.h"

#include <absl/flags/flag.h>

ABSL_FLAG(std::string, targets_file, "", "TOML file with the targets");
ABSL_FLAG(std::vector<std::string>,
          listen,
          {},
          "addresses and ports of targets, instead of targets_file");
ABSL_FLAG(std::vector<std::string>,
          set,
          {},
          "properties of the targets of --listen, as in slots=3,cold_ms=2000");
ABSL_FLAG(std::string, admin, "", "address and port of the admin pages");

namespace lacewing {

namespace {

Outcome<void> Run()
{
  const MonotonicClock clock;
  const TimePoint start = clock.Now();
  const std::string file = absl::GetFlag(FLAGS_targets_file);
  BOOST_OUTCOME_TRY(const std::vector<TargetSpec> specs,
                    file.empty() ? MakeTargetSpecs(absl::GetFlag(FLAGS_listen),
                                                   absl::GetFlag(FLAGS_set))
                                 : ReadTargetsFile(file));
  asio::io_context context;
  RunLog log;
  std::vector<std::unique_ptr<Target>> targets;
  for (const TargetSpec& spec : specs) {
    BOOST_OUTCOME_TRY(auto target,
                      Target::Make(context, clock, spec, log, start));
    targets.push_back(std::move(target));
  }
  std::unique_ptr<TargetAdmin> admin;
  if (const std::string text = absl::GetFlag(FLAGS_admin); !text.empty()) {
    BOOST_OUTCOME_TRY(const Endpoint endpoint, Endpoint::Parse(text));
    BOOST_OUTCOME_TRY(
      admin, TargetAdmin::Make(context, clock, endpoint, targets, log, start));
  }
  Log(LogLevel::kInfo,
      "listening",
      { { "targets", std::to_string(targets.size()) } });
  RunUntilSignal(context);
  return outcome::success();
}

} // namespace

} // namespace lacewing

int main(int aCount, char** aArguments)
{
  lacewing::ParseProgramFlags(
    "standin-target", "Stand-in for targets.", aCount, aArguments);
  lacewing::StartLogging(lacewing::LogLevel::kInfo);
  const lacewing::Outcome<void> run = lacewing::Run();
  if (!run) {
    lacewing::Log(lacewing::LogLevel::kError,
                  "start",
                  { { "error", run.error().ToString() } });
    return 1;
  }
  return 0;
}
