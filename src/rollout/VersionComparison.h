#ifndef ROLLOUT_VERSIONCOMPARISON_H
#define ROLLOUT_VERSIONCOMPARISON_H

#include "lacewing/Clock.h"
#include "rollout/RolloutEvidence.h"
#include "rollout/SequentialTest.h"

#include <cstdint>
#include <map>
#include <optional>

namespace lacewing {

/** Compares the versions on each route and over all routes together. */
class VersionComparison
{
public:
  /**
   * Takes the growth of the evidence of all zones since the last call;
   * aNewTargets and aOldInUse as for SequentialTest.
   */
  void OnGrowth(TimePoint aNow,
                const RolloutEvidence& aGrowth,
                unsigned aNewTargets,
                bool aOldInUse);

  /**
   * The route on which the version is bad, or kAllRoutes if it is bad over all
   * routes together; empty if it is not known to be bad.
   */
  std::optional<std::uint32_t> BadRoute() const;

  /**
   * Whether the version is good over all routes together and on each route with
   * at least a tenth of the attempts. A route with fewer cannot be proven in
   * the time of a rollout; the test over all routes covers it.
   */
  bool Accepts(double aErrorRate) const;

  static constexpr std::uint32_t kAllRoutes = 0xffffffff;

private:
  /** Each route gets its part of an error rate. */
  double Part(double aErrorRate) const;

  SequentialTest all_;
  std::map<std::uint32_t, SequentialTest> routes_;
};

} // namespace lacewing

#endif // ROLLOUT_VERSIONCOMPARISON_H
