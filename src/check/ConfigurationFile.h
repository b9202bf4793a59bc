#ifndef CHECK_CONFIGURATIONFILE_H
#define CHECK_CONFIGURATIONFILE_H

#include "lacewing/Outcome.h"

#include <string>

namespace lacewing {

/**
 * Reads a file of at most 8 MiB, which is what a host reads from the store;
 * fails with kInvalidMessage or kTooLarge.
 */
Outcome<std::string> ReadConfigurationText(const std::string& aPath);

} // namespace lacewing

#endif // CHECK_CONFIGURATIONFILE_H
