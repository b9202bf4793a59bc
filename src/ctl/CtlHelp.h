#ifndef CTL_CTLHELP_H
#define CTL_CTLHELP_H

#include <string>

namespace lacewing {

/**
 * The help for a command with its examples, or for all commands with the
 * exit codes when aCommand is empty or unknown.
 */
std::string CtlHelp(const std::string& aCommand);

} // namespace lacewing

#endif // CTL_CTLHELP_H
