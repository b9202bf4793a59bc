#ifndef CTL_EXITCODE_H
#define CTL_EXITCODE_H

#include "lacewing/ErrorKind.h"

namespace lacewing {

/** Exit codes of lacewingctl; scripts rely on the numbers. */
enum class ExitCode
{
  kDone = 0,
  kUsage = 1,
  kInvalidInput = 2,
  kRefused = 3,
  kConflict = 4,
  kUnavailable = 5,
  kNotInForce = 6,
};

/** The exit code for a command that ends with this kind of error. */
ExitCode ExitCodeOf(ErrorKind aKind);

} // namespace lacewing

#endif // CTL_EXITCODE_H
