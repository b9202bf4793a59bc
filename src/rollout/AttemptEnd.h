#ifndef ROLLOUT_ATTEMPTEND_H
#define ROLLOUT_ATTEMPTEND_H

namespace lacewing {

/** How an attempt ended, as far as the comparison of versions needs it. */
enum class AttemptEnd
{
  /** The target returned a complete, usable response that is no failure. */
  kResponse,
  /** The target's own 5xx, no response, or an unusable response. */
  kFailure,
  /** This host or the caller gave the attempt up before it ended. */
  kCancelled,
  /** It is proved that the target did not run the request. */
  kNotRun,
};

} // namespace lacewing

#endif // ROLLOUT_ATTEMPTEND_H
