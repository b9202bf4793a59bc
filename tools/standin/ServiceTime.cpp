#include "standin/ServiceTime.h"

#include <cmath>

namespace lacewing {

struct ServiceTime::Distribution
{
  const char* name;
  Seconds (ServiceTime::*draw)(Seconds, double);
};

const ServiceTime::Distribution ServiceTime::kDistributions[] = {
  { "fixed", &ServiceTime::Fixed },
  { "exponential", &ServiceTime::Exponential },
  { "lognormal", &ServiceTime::Lognormal },
};

Duration ServiceTime::Draw(const TargetProperties& aProperties)
{
  auto draw = &ServiceTime::Fixed;
  for (const Distribution& distribution : kDistributions) {
    if (aProperties.serviceTime == distribution.name) {
      draw = distribution.draw;
    }
  }
  const Seconds drawn = (this->*draw)(aProperties.service, aProperties.sigma);
  return std::chrono::duration_cast<Duration>(drawn * aProperties.slowFactor);
}

ServiceTime::Seconds ServiceTime::Fixed(Seconds aMean, double)
{
  return aMean;
}

ServiceTime::Seconds ServiceTime::Exponential(Seconds aMean, double)
{
  return aMean * std::exponential_distribution<double>(1)(engine_);
}

ServiceTime::Seconds ServiceTime::Lognormal(Seconds aMean, double aSigma)
{
  // The shift keeps the mean at aMean for every sigma.
  const double shift = -aSigma * aSigma / 2;
  return aMean *
         std::exp(std::normal_distribution<double>(shift, aSigma)(engine_));
}

} // namespace lacewing
