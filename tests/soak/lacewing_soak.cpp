#include "core/Log.h"
#include "flags/ProgramFlags.h"
#include "soak/FaultDriver.h"

#include <absl/flags/flag.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

ABSL_FLAG(std::uint64_t,
          seed,
          1,
          "determines the faults, the requests and their timing");
ABSL_FLAG(int, seconds, 12, "how long faults are injected, in seconds");
ABSL_FLAG(bool,
          planned,
          false,
          "inject planned changes only, during which no request may be lost");
ABSL_FLAG(int, hosts, 2, "number of hosts in each zone");
ABSL_FLAG(std::string,
          hostd,
          "lacewing-hostd",
          "the hosts' program: its name in the build folder, or its path");
ABSL_FLAG(std::string,
          keep_logs,
          "",
          "folder for the hosts' logs of a failed run");

namespace {

using namespace lacewing;

// How long callers are observed once all faults have ended and hosts are ready.
constexpr Duration kCalm = std::chrono::seconds(3);

void KeepLogs(SoakWorld& aWorld, const std::string& aFolder)
{
  for (const auto& host : aWorld.Hosts()) {
    std::ofstream(aFolder + "/" + host->Name() + ".log") << host->Logs();
  }
}

/** Reports what sanitizers, if hosts are built with them, have found. */
void CheckSanitizers(SoakWorld& aWorld)
{
  for (const auto& host : aWorld.Hosts()) {
    std::istringstream logs(host->Logs());
    for (std::string line; std::getline(logs, line);) {
      if (line.find("Sanitizer") != std::string::npos) {
        aWorld.Ledger().AddViolation("sanitizer", host->Name() + ' ' + line);
      }
    }
  }
}

int Run(const SoakOptions& aOptions)
{
  SoakWorld world(aOptions);
  FaultDriver driver(world, aOptions);
  world.Start();
  driver.Start(world.Time().Now() + aOptions.length);
  world.RunUntil(world.Time().Now() + aOptions.length);
  world.RunUntil(driver.LastEnd());
  if (!world.RunUntilReady(world.Terms().recovery)) {
    world.Ledger().AddViolation(
      "recovery", "a host is not ready within the recovery bound");
  }
  const TimePoint calm = world.Time().Now();
  world.RunUntil(calm + kCalm);
  for (const auto& host : world.Hosts()) {
    host->CheckExit();
  }
  world.Ledger().CheckServed(calm);
  world.Ledger().CheckRequests();
  CheckSanitizers(world);
  for (const std::string& violation : world.Ledger().Violations()) {
    std::cout << "event=violation " << violation << '\n';
  }
  const bool passed = world.Ledger().Violations().empty();
  std::cout << "event=end seed=" << aOptions.seed
            << " planned=" << aOptions.plannedOnly << ' '
            << world.Ledger().Summary() << " longest_delay_ms="
            << std::chrono::duration_cast<std::chrono::milliseconds>(
                 world.LongestDelay())
                 .count()
            << " verdict=" << (passed ? "passed" : "failed") << std::endl;
  if (!passed && !aOptions.keepLogs.empty()) {
    KeepLogs(world, aOptions.keepLogs);
  }
  return passed ? 0 : 1;
}

} // namespace

int main(int aCount, char** aArguments)
{
  lacewing::ParseProgramFlags(
    "lacewing-soak",
    "Runs lacewing-hostd processes under random faults and checks what callers "
    "and servers see.\n"
    "lacewing-soak [--seed N] [--seconds N] [--planned] [--hosts N] "
    "[--hostd FILE] [--keep_logs FOLDER]",
    aCount,
    aArguments);
  std::signal(SIGPIPE, SIG_IGN);
  StartLogging(LogLevel::kError);
  SoakOptions options;
  options.seed = absl::GetFlag(FLAGS_seed);
  options.length = std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
  options.plannedOnly = absl::GetFlag(FLAGS_planned);
  options.hostsPerZone = static_cast<std::size_t>(absl::GetFlag(FLAGS_hosts));
  options.program = absl::GetFlag(FLAGS_hostd);
  options.keepLogs = absl::GetFlag(FLAGS_keep_logs);
  return Run(options);
}
