#ifndef ROLLOUT_ROLLOUTLIMITS_H
#define ROLLOUT_ROLLOUTLIMITS_H

#include "lacewing/Clock.h"

namespace lacewing {

/** A deployment's bounds on what a bad version may do. */
struct RolloutLimits
{
  /** The part of a service's requests that may reach a bad version, 0 to 1. */
  double exposeShare = 0.1;
  /** Requests that may reach a bad version beyond that part. */
  double exposeSlack = 50;
  /** How long requests may go on after the 50th bad response of a version. */
  Duration rollbackTime = std::chrono::seconds(5);
};

} // namespace lacewing

#endif // ROLLOUT_ROLLOUTLIMITS_H
