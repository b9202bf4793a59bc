#ifndef CHECK_CHECKRUN_H
#define CHECK_CHECKRUN_H

#include "check/CheckResult.h"
#include "check/ConfigurationReader.h"
#include "lacewing/Outcome.h"

#include <optional>
#include <string>
#include <vector>

namespace lacewing {

/**
 * Checks the text of a configuration and, if aCurrent is set, compares it with
 * the text of the current one. Errors of the current one are not reported.
 */
CheckResult RunCheck(const ConfigurationReader& aReader,
                     const std::string& aText,
                     const std::optional<std::string>& aCurrent);

/**
 * Runs the command with the arguments behind its name, which name one file.
 * aAgainst is the path of the current configuration; empty for none.
 */
CheckResult RunCheckCommand(const ConfigurationReader& aReader,
                            const std::vector<std::string>& aArguments,
                            const std::string& aAgainst);

} // namespace lacewing

#endif // CHECK_CHECKRUN_H
