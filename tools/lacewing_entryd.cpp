#include "core/Log.h"
#include "core/MonotonicClock.h"
#include "entry/EntryServer.h"
#include "entry/EntrySettingsReader.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <algorithm>
#include <cstring>
#include <iostream>
#include <string>

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
  std::cerr << "lacewing-entryd: " << aError.ToString() << '\n';
  return 1;
}

int Start()
{
  using namespace lacewing;
  const auto settings = ReadEntrySettings(absl::GetFlag(FLAGS_settings));
  if (!settings) {
    return Refuse(settings.error());
  }
  const auto level = ParseLogLevel(settings.value().logLevel);
  if (!level) {
    return Refuse(level.error());
  }
  if (absl::GetFlag(FLAGS_check_settings)) {
    std::cout << "the settings are valid\n";
    return 0;
  }
  StartLogging(level.value());
  const MonotonicClock clock;
  const auto server = EntryServer::Make(clock, settings.value());
  if (!server) {
    return Refuse(server.error());
  }
  server.value()->StopOnSignals();
  return server.value()->Run() ? 0 : 1;
}

} // namespace

int main(int aCount, char** aArguments)
{
  absl::SetProgramUsageMessage("HTTP front end of lacewinghoist.\n"
                               "lacewing-entryd --settings FILE "
                               "[--check-settings] [--version]");
  absl::FlagsUsageConfig config;
  config.version_string = [] {
    return std::string("lacewing-entryd " LACEWING_VERSION "\n");
  };
  absl::SetFlagsUsageConfig(config);
  AcceptHyphens(aCount, aArguments);
  if (absl::ParseCommandLine(aCount, aArguments).size() > 1) {
    std::cerr << "lacewing-entryd: only flags are accepted; see --help\n";
    return 1;
  }
  return Start();
}
