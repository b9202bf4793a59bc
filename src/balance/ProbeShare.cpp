#include "balance/ProbeShare.h"

#include <algorithm>

namespace lacewing {

namespace {

// The rest of the limit is for what a host may send at once, and for hosts that
// start and do not know the others yet.
constexpr double kUsedShare = 0.7;
// The owners' part of the limit when it is short. Searches keep at least as
// much, since a target without a recent reading must be probed.
constexpr double kMostOwnersShare = 0.4;
constexpr double kOwnerProbesPerSecond =
  std::chrono::duration<double>(std::chrono::seconds(1)) /
  std::chrono::duration<double>(kOwnerProbePeriod);

/** The sides of a partition, as the largest number that is possible. */
double Sides(const ProbeShare& aShare)
{
  // A host that has just started guesses the number of hosts.
  return aShare.provisional ? 1
                            : std::max(1.0,
                                       static_cast<double>(aShare.hosts) /
                                         std::max(1U, aShare.alive));
}

} // namespace

double OwnerProbeRate(const ProbeLimits& aLimits, const ProbeShare& aShare)
{
  const double usual = kOwnerProbesPerSecond * Sides(aShare);
  return aLimits.perTarget > 0
           ? std::min(usual, aLimits.perTarget * kMostOwnersShare)
           : usual;
}

double OwnerProbeFraction(const ProbeLimits& aLimits, const ProbeShare& aShare)
{
  return OwnerProbeRate(aLimits, aShare) /
         (kOwnerProbesPerSecond * Sides(aShare));
}

double SearchProbeRate(const ProbeLimits& aLimits, const ProbeShare& aShare)
{
  return (aLimits.perTarget * kUsedShare - OwnerProbeRate(aLimits, aShare)) *
         static_cast<double>(aShare.targets) / std::max(1U, aShare.hosts);
}

} // namespace lacewing
