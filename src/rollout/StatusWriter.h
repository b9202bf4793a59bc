#ifndef ROLLOUT_STATUSWRITER_H
#define ROLLOUT_STATUSWRITER_H

namespace lacewing {

/** A host's part in writing statuses of rollouts to the store. */
enum class StatusWriter
{
  kNone,
  /** Writes if the store still has another status after 2 s. */
  kStandby,
  /** Writes at once. */
  kPrimary,
};

} // namespace lacewing

#endif // ROLLOUT_STATUSWRITER_H
