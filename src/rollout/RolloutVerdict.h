#ifndef ROLLOUT_ROLLOUTVERDICT_H
#define ROLLOUT_ROLLOUTVERDICT_H

#include <cstdint>

namespace lacewing {

/** What is known of the version that a rollout brings in. */
enum class RolloutVerdict : std::uint32_t
{
  /** Not known yet; the version gets a limited share of the requests. */
  kTrial = 0,
  /** Good; the version may get all requests. */
  kProven = 1,
  /** Bad, or not proven in time; the version gets no requests. */
  kRejected = 2,
  /** Proven, and every live host uses it alone: the rollout is complete. */
  kAdopted = 3,
};

/** Whether the verdict permits a share beyond that of a trial. */
inline bool IsProven(RolloutVerdict aVerdict)
{
  return aVerdict == RolloutVerdict::kProven ||
         aVerdict == RolloutVerdict::kAdopted;
}

} // namespace lacewing

#endif // ROLLOUT_ROLLOUTVERDICT_H
