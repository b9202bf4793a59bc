#ifndef CORE_LOGVALUE_H
#define CORE_LOGVALUE_H

#include <string>

namespace lacewing {

/**
 * A value as a log line shows it: quoted where needed, with control characters
 * escaped, and cut after 2,000 bytes, so that text from outside neither breaks
 * nor fills the log.
 */
std::string FormatLogValue(const std::string& aValue);

} // namespace lacewing

#endif // CORE_LOGVALUE_H
