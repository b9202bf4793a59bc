#ifndef CHECK_CHECKEXIT_H
#define CHECK_CHECKEXIT_H

namespace lacewing {

/** Exit codes of a check; scripts rely on the numbers. */
enum class CheckExit
{
  kInOrder = 0,
  /** The configuration is in order but differs from the current one. */
  kDifferences = 1,
  kErrors = 2,
  /** A file cannot be read, or the command line names none. */
  kUnreadable = 3,
};

} // namespace lacewing

#endif // CHECK_CHECKEXIT_H
