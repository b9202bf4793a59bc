#ifndef STANDIN_SERVICETIME_H
#define STANDIN_SERVICETIME_H

#include "lacewing/Clock.h"
#include "standin/TargetProperties.h"

#include <random>

namespace lacewing {

/** Draws service times from the distribution that the properties name. */
class ServiceTime
{
public:
  explicit ServiceTime(std::uint64_t aSeed)
    : engine_(aSeed)
  {
  }

  /** An unknown distribution counts as "fixed". */
  Duration Draw(const TargetProperties& aProperties);

private:
  using Seconds = std::chrono::duration<double>;
  struct Distribution;
  static const Distribution kDistributions[];

  Seconds Fixed(Seconds aMean, double aSigma);
  Seconds Exponential(Seconds aMean, double aSigma);
  Seconds Lognormal(Seconds aMean, double aSigma);

  std::mt19937_64 engine_;
};

} // namespace lacewing

#endif // STANDIN_SERVICETIME_H
