#ifndef FLAGS_PROGRAMFLAGS_H
#define FLAGS_PROGRAMFLAGS_H

#include <string>
#include <vector>

namespace lacewing {

/**
 * Parses the command line of a program whose flags are defined in tools/.
 * --help shows these flags below aUsage, --version the release; both end the
 * program. Flag names may be written with hyphens. Returns the arguments that
 * are no flags.
 */
std::vector<char*> ParseProgramFlags(const std::string& aProgram,
                                     const std::string& aUsage,
                                     int aCount,
                                     char** aArguments);

} // namespace lacewing

#endif // FLAGS_PROGRAMFLAGS_H
