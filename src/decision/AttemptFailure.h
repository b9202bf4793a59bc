#ifndef DECISION_ATTEMPTFAILURE_H
#define DECISION_ATTEMPTFAILURE_H

namespace lacewing {

/** Why an attempt brought no whole answer. */
enum class AttemptFailure
{
  /** Nothing was sent: proof that it was not run. */
  kNotSent,
  /** Sent, and the connection was lost. */
  kLost,
  /** Sent, and the time ran out. */
  kTimedOut,
  /** Run, but its answer exceeds the size limit. */
  kTooLarge,
};

} // namespace lacewing

#endif // DECISION_ATTEMPTFAILURE_H
