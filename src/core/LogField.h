#ifndef CORE_LOGFIELD_H
#define CORE_LOGFIELD_H

#include <string>

namespace lacewing {

/** One key=value pair of a log line. */
struct LogField
{
  std::string key;
  std::string value;
};

} // namespace lacewing

#endif // CORE_LOGFIELD_H
