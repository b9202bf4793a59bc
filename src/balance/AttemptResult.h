#ifndef BALANCE_ATTEMPTRESULT_H
#define BALANCE_ATTEMPTRESULT_H

namespace lacewing {

/** How one attempt to send a request to a target ended. */
enum class AttemptResult
{
  /** The target returned a complete, signed success response. */
  kSuccess,
  /** The target ran the request and returned a failure of its own. */
  kTargetFailure,
  /** The target reported that it did not run the request. */
  kNotRun,
  /** No byte of the request reached the target. */
  kNotSent,
  /** The result is unknown; the target may have run the request. */
  kUnknown,
};

const char* ToString(AttemptResult aResult);

} // namespace lacewing

#endif // BALANCE_ATTEMPTRESULT_H
