#include "flags/ProgramFlags.h"

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <algorithm>
#include <cstring>

namespace lacewing {

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

bool IsProgramSource(absl::string_view aFile)
{
  return absl::string_view(aFile).find("tools/") != absl::string_view::npos;
}

} // namespace

std::vector<char*> ParseProgramFlags(const std::string& aProgram,
                                     const std::string& aUsage,
                                     int aCount,
                                     char** aArguments)
{
  absl::SetProgramUsageMessage(aUsage);
  absl::FlagsUsageConfig config;
  config.contains_help_flags = &IsProgramSource;
  config.contains_helpshort_flags = &IsProgramSource;
  config.version_string = [aProgram] {
    return aProgram + " " LACEWING_VERSION "\n";
  };
  absl::SetFlagsUsageConfig(config);
  AcceptHyphens(aCount, aArguments);
  std::vector<char*> arguments = absl::ParseCommandLine(aCount, aArguments);
  arguments.erase(arguments.begin());
  return arguments;
}

} // namespace lacewing
