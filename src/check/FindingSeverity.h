#ifndef CHECK_FINDINGSEVERITY_H
#define CHECK_FINDINGSEVERITY_H

namespace lacewing {

/** How a finding affects the result of a check. */
enum class FindingSeverity
{
  /** The configuration does not do what it says. */
  kError,
  /** The configuration differs from the one in force. */
  kDifference,
};

const char* ToString(FindingSeverity aSeverity);

} // namespace lacewing

#endif // CHECK_FINDINGSEVERITY_H
