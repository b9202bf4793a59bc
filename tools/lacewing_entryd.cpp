#include "core/Log.h"
#include "core/MonotonicClock.h"
#include "entry/EntryServer.h"
#include "entry/EntrySettingsReader.h"
#include "flags/ProgramFlags.h"

#include <absl/flags/flag.h>

#include <iostream>
#include <string>
#include <vector>

ABSL_FLAG(std::string, settings, "", "TOML file with the settings");
ABSL_FLAG(bool, check_settings, false, "read the settings and exit");

namespace {

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
  const std::vector<char*> arguments = lacewing::ParseProgramFlags(
    "lacewing-entryd",
    "HTTP front end of lacewinghoist.\n"
    "lacewing-entryd --settings FILE [--check-settings] [--version]",
    aCount,
    aArguments);
  if (!arguments.empty()) {
    std::cerr << "lacewing-entryd: only flags are accepted; see --help\n";
    return 1;
  }
  return Start();
}
