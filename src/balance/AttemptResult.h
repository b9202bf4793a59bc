#ifndef BALANCE_ATTEMPTRESULT_H
#define BALANCE_ATTEMPTRESULT_H

namespace lacewing {

/** What one sending of a request to a target came to. */
enum class AttemptResult
{
  /** The target's success, whole and signed. */
  kSuccess,
  /** The target's own failure; it has run the request. */
  kTargetFailure,
  /** The target says that it has not run the request. */
  kNotRun,
  /** No byte of the request reached the target. */
  kNotSent,
  /** Nothing is known; it may have run. */
  kUnknown,
};

const char* ToString(AttemptResult aResult);

} // namespace lacewing

#endif // BALANCE_ATTEMPTRESULT_H
