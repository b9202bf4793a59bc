#ifndef TESTS_SUPPORT_CTLRESULT_H
#define TESTS_SUPPORT_CTLRESULT_H

#include <string>

namespace lacewing {

/** How a run of lacewingctl ended. */
struct CtlResult
{
  /** Exit code, or -1 when it did not end in time. */
  int code = -1;
  std::string output;
};

} // namespace lacewing

#endif // TESTS_SUPPORT_CTLRESULT_H
