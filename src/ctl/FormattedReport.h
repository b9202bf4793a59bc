#ifndef CTL_FORMATTEDREPORT_H
#define CTL_FORMATTEDREPORT_H

#include <string>

namespace lacewing {

/** Text for the standard output and the standard error. */
struct FormattedReport
{
  std::string output;
  std::string errors;
};

} // namespace lacewing

#endif // CTL_FORMATTEDREPORT_H
