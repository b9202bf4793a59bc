#include "soak/HostDisturbances.h"

#include <algorithm>

namespace lacewing {

void HostDisturbances::Add(const std::string& aHost, TimePoint aUntil)
{
  TimePoint& until = disturbedUntil_[aHost];
  until = std::max(until, aUntil);
}

void HostDisturbances::SetRestarting(const std::string& aHost, TimePoint aUntil)
{
  restartingUntil_[aHost] = aUntil;
}

bool HostDisturbances::Disturbed(const std::string& aHost,
                                 TimePoint aFrom) const
{
  const auto found = disturbedUntil_.find(aHost);
  return found != disturbedUntil_.end() && found->second >= aFrom;
}

bool HostDisturbances::Restarting(const std::string& aHost,
                                  TimePoint aFrom) const
{
  const auto found = restartingUntil_.find(aHost);
  return found != restartingUntil_.end() && found->second >= aFrom;
}

} // namespace lacewing
