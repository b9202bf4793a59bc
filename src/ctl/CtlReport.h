#ifndef CTL_CTLREPORT_H
#define CTL_CTLREPORT_H

#include "config/ConfigChange.h"
#include "config/RecentWrite.h"
#include "config/SheetProblem.h"
#include "ctl/ExitCode.h"
#include "ctl/HostReport.h"
#include "lacewing/Error.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace lacewing {

/** All that a command has to tell; formats print what is present. */
struct CtlReport
{
  std::string command;
  ExitCode exitCode = ExitCode::kDone;
  std::optional<Error> error;
  SheetProblems problems;
  /** Present when configurations were compared. */
  std::optional<std::vector<ConfigChange>> changes;
  /** Version of the configuration in the store. */
  std::optional<ConfigVersion> version;
  /** Whether this command wrote that version. */
  bool written = false;
  /** Present when the hosts were asked. */
  std::optional<std::vector<HostReport>> hosts;
  /** The latest first. */
  std::vector<RecentWrite> history;
  /** State of a daemon. */
  std::optional<nlohmann::json> dump;
  std::string programVersion;
  /** What went wrong without changing the result. */
  std::vector<std::string> notes;
};

} // namespace lacewing

#endif // CTL_CTLREPORT_H
