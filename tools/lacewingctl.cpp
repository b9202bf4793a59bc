#include "check/CheckRun.h"
#include "core/MonotonicClock.h"
#include "core/UnitText.h"
#include "ctl/Ctl.h"
#include "ctl/CtlHelp.h"
#include "ctl/HttpHostReader.h"
#include "ctl/ReportFormat.h"
#include "platform/ConfigurationFileReader.h"
#include "store/HttpObjectStore.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/time/time.h>
#include <asio/post.hpp>

#include <algorithm>
#include <iostream>
#include <optional>
#include <random>

ABSL_FLAG(std::string,
          platform,
          "127.0.0.1:7000",
          "address and port of the platform's store");
ABSL_FLAG(absl::Duration,
          timeout,
          absl::Seconds(30),
          "time for the whole command");
ABSL_FLAG(std::string, output, "text", "text or json");
ABSL_FLAG(bool,
          allow_removal,
          false,
          "lets a plan take away any number of targets");
ABSL_FLAG(std::string,
          max_removal,
          "25 %",
          "share of a service's targets that a sheet may take away");
ABSL_FLAG(std::uint16_t,
          control_admin_port,
          7071,
          "admin port of control daemons that are listed without a port");
ABSL_FLAG(std::string,
          against,
          "",
          "for check: file with the current configuration");

namespace {

using namespace lacewing;

int ReportUsage(const Error& aError)
{
  std::cerr << "error: " << aError.ToString() << "\n";
  return static_cast<int>(ExitCode::kUsage);
}

/** The help asked for, with the command before or after the flag. */
std::optional<std::string> FindHelp(int aCount, char** aArguments)
{
  bool asked = false;
  std::string command;
  for (int i = 1; i < aCount; ++i) {
    const std::string argument = aArguments[i];
    if (argument == "--help" || argument == "-help" || argument == "-h" ||
        (argument == "help" && command.empty())) {
      asked = true;
    } else if (command.empty() && argument.rfind('-', 0) != 0) {
      command = argument;
    }
  }
  return asked ? std::optional<std::string>(CtlHelp(command)) : std::nullopt;
}

/** Abseil writes flags with underscores; both spellings are accepted. */
std::string WithUnderscores(std::string aArgument)
{
  if (aArgument.rfind("--", 0) == 0) {
    const std::size_t end = std::min(aArgument.find('='), aArgument.size());
    for (std::size_t i = 2; i < end; ++i) {
      if (aArgument[i] == '-') {
        aArgument[i] = '_';
      }
    }
  }
  return aArgument;
}

std::vector<std::string> ParseArguments(int aCount, char** aArguments)
{
  std::vector<std::string> texts;
  for (int i = 0; i < aCount; ++i) {
    texts.push_back(i == 0 ? aArguments[i] : WithUnderscores(aArguments[i]));
  }
  std::vector<char*> pointers;
  for (std::string& text : texts) {
    pointers.push_back(text.data());
  }
  const std::vector<char*> rest =
    absl::ParseCommandLine(aCount, pointers.data());
  return { rest.begin() + 1, rest.end() };
}

/** Runs the command that needs no store; aArguments begin with its name. */
int Check(const std::vector<std::string>& aArguments)
{
  const CheckResult result =
    RunCheckCommand(platform::ConfigurationFileReader(),
                    { aArguments.begin() + 1, aArguments.end() },
                    absl::GetFlag(FLAGS_against));
  const bool asJson = absl::GetFlag(FLAGS_output) == "json";
  std::cout << (asJson ? JsonOf(result) : TextOf(result));
  return static_cast<int>(result.exit);
}

Outcome<CtlOptions> MakeOptions()
{
  CtlOptions options;
  options.timeout = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_timeout));
  if (options.timeout <= std::chrono::milliseconds::zero() ||
      options.timeout > std::chrono::hours(24)) {
    return Fail(ErrorKind::kInvalidArgument,
                "--timeout is out of range",
                "write a time of up to 24h, as in --timeout=30s");
  }
  options.allowRemoval = absl::GetFlag(FLAGS_allow_removal);
  BOOST_OUTCOME_TRY(options.maxRemoval,
                    ParseShare(absl::GetFlag(FLAGS_max_removal)));
  options.controlAdminPort = absl::GetFlag(FLAGS_control_admin_port);
  return options;
}

} // namespace

int main(int aCount, char** aArguments)
{
  if (const auto help = FindHelp(aCount, aArguments)) {
    std::cout << *help;
    return static_cast<int>(ExitCode::kDone);
  }
  absl::SetProgramUsageMessage("run lacewingctl --help");
  std::vector<std::string> arguments = ParseArguments(aCount, aArguments);

  const auto format = MakeReportFormat(absl::GetFlag(FLAGS_output));
  if (!format) {
    return ReportUsage(format.error());
  }
  if (!arguments.empty() && arguments.front() == "check") {
    return Check(arguments);
  }
  const auto options = MakeOptions();
  if (!options) {
    return ReportUsage(options.error());
  }
  HttpObjectStoreOptions storeOptions;
  const auto platform = Endpoint::Parse(absl::GetFlag(FLAGS_platform));
  if (!platform) {
    return ReportUsage(platform.error());
  }
  storeOptions.endpoint = platform.value();

  asio::io_context context;
  const MonotonicClock clock;
  HttpObjectStore store(context, storeOptions);
  const auto hosts = MakeHttpHostReader(context);
  std::random_device device;
  std::seed_seq seed{ device(), device(), device(), device() };
  std::mt19937_64 random(seed);
  Ctl ctl({ context, clock, store, *hosts, random },
          options.value(),
          std::move(arguments));
  CtlReport report;
  asio::post(context, [&] {
    ctl.Run([&](CtlReport aReport) {
      report = std::move(aReport);
      context.stop();
    });
  });
  context.run();

  const FormattedReport text = format.value()->Format(report);
  std::cout << text.output << std::flush;
  std::cerr << text.errors;
  return static_cast<int>(report.exitCode);
}
