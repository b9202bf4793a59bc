#ifndef FLEET_RESTARTLOG_H
#define FLEET_RESTARTLOG_H

#include "fleet/HostRestart.h"

#include <cstdint>
#include <vector>

namespace lacewing {

/** Logs and counts the restarts of the other hosts of this host's zone. */
class RestartLog
{
public:
  void Add(const std::vector<HostRestart>& aRestarts);

  /** Number of restarts that had been announced, or of the others. */
  std::uint64_t Count(bool aAnnounced) const;

private:
  std::uint64_t announced_ = 0;
  std::uint64_t unannounced_ = 0;
};

} // namespace lacewing

#endif // FLEET_RESTARTLOG_H
