#ifndef ROLLOUT_ATTEMPTEVIDENCE_H
#define ROLLOUT_ATTEMPTEVIDENCE_H

namespace lacewing {

/** What an attempt says about the version of its target. */
enum class AttemptEvidence
{
  /** Nothing; the attempt is not counted. */
  kNone,
  kGood,
  kBad,
};

} // namespace lacewing

#endif // ROLLOUT_ATTEMPTEVIDENCE_H
