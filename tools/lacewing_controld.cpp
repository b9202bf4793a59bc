#include "control/ControlDaemon.h"
#include "control/ControlSettingsReader.h"
#include "core/Log.h"
#include "core/MonotonicClock.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <asio/signal_set.hpp>

#include <algorithm>
#include <csignal>
#include <cstring>
#include <iostream>

ABSL_FLAG(std::string, settings, "", "TOML file with the settings");
ABSL_FLAG(bool, check_settings, false, "read the settings and exit");

namespace {

/** Abseil's flag names have underscores; hyphens are accepted as well. */
void AcceptHyphens(int aCount, char** aArguments)
{
  for (int i = 1; i < aCount; ++i) {
    if (std::strncmp(aArguments[i], "--", 2) == 0) {
      char* name = aArguments[i] + 2;
      std::replace(name, name + std::strcspn(name, "="), '-', '_');
    }
  }
}

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
  context.run();
  return 0;
}

} // namespace

int main(int aCount, char** aArguments)
{
  using namespace lacewing;
  absl::SetProgramUsageMessage("Control daemon of lacewinghoist.\n"
                               "lacewing-controld --settings FILE "
                               "[--check-settings] [--version]");
  absl::FlagsUsageConfig config;
  config.version_string = [] {
    return std::string("lacewing-controld " LACEWING_VERSION "\n");
  };
  absl::SetFlagsUsageConfig(config);
  AcceptHyphens(aCount, aArguments);
  if (absl::ParseCommandLine(aCount, aArguments).size() > 1) {
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
