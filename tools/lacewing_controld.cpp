#include "control/ControlDaemon.h"
#include "control/ControlSettingsReader.h"
#include "core/Log.h"
#include "core/MonotonicClock.h"
#include "core/RunContext.h"
#include "flags/ProgramFlags.h"

#include <absl/flags/flag.h>
#include <asio/signal_set.hpp>

#include <csignal>
#include <iostream>
#include <vector>

ABSL_FLAG(std::string, settings, "", "TOML file with the settings");
ABSL_FLAG(bool, check_settings, false, "read the settings and exit");

namespace {

int Refuse(const lacewing::Error& aError)
{
  std::cerr << "lacewing-controld: " << aError.ToString() << '\n';
  return 1;
}

int Run(const lacewing::ControlSettings& aSettings)
{
  using namespace lacewing;
  const MonotonicClock clock;
  asio::io_context context(1);
  const auto daemon =
    ControlDaemon::Make(context, clock, aSettings, ControlTerms());
  if (!daemon) {
    return Refuse(daemon.error());
  }
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](const asio::error_code& aError, int) {
    if (!aError) {
      daemon.value()->Stop([&context] { context.stop(); });
    }
  });
  RunContext(context);
  return 0;
}

} // namespace

int main(int aCount, char** aArguments)
{
  using namespace lacewing;
  const std::vector<char*> arguments = ParseProgramFlags(
    "lacewing-controld",
    "Control daemon of lacewinghoist.\n"
    "lacewing-controld --settings FILE [--check-settings] [--version]",
    aCount,
    aArguments);
  if (!arguments.empty()) {
    std::cerr << "lacewing-controld: only flags are accepted; see --help\n";
    return 1;
  }
  const auto settings = ReadControlSettings(absl::GetFlag(FLAGS_settings));
  if (!settings) {
    return Refuse(settings.error());
  }
  if (absl::GetFlag(FLAGS_check_settings)) {
    std::cout << "the settings are valid\n";
    return 0;
  }
  StartLogging(ParseLogLevel(settings.value().logLevel).value());
  return Run(settings.value());
}
