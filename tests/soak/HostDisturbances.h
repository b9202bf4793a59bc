#ifndef TESTS_SOAK_HOSTDISTURBANCES_H
#define TESTS_SOAK_HOSTDISTURBANCES_H

#include "lacewing/Clock.h"

#include <map>
#include <string>

namespace lacewing {

/** Records when hosts were disturbed in ways that may cost them requests. */
class HostDisturbances
{
public:
  /** The host is killed, paused or its callers' connections are cut. */
  void Add(const std::string& aHost, TimePoint aUntil);

  /**
   * The host stops and starts again; replaces the time that an earlier call
   * gave. It may refuse connections by then but loses no request it has read.
   */
  void SetRestarting(const std::string& aHost, TimePoint aUntil);

  /** Whether the host was killed, paused or cut at aFrom or later. */
  bool Disturbed(const std::string& aHost, TimePoint aFrom) const;

  /** Whether the host stopped or started at aFrom or later. */
  bool Restarting(const std::string& aHost, TimePoint aFrom) const;

private:
  std::map<std::string, TimePoint> disturbedUntil_;
  std::map<std::string, TimePoint> restartingUntil_;
};

} // namespace lacewing

#endif // TESTS_SOAK_HOSTDISTURBANCES_H
