#ifndef ROLLOUT_EXPOSUREBOUNDS_H
#define ROLLOUT_EXPOSUREBOUNDS_H

namespace lacewing {

/** How many of a service's requests a bad version may get. */
struct ExposureBounds
{
  /** Part of the requests of the whole period, 0 to 1. */
  double share = 0;
  /** Requests in addition. */
  double slack = 0;
};

} // namespace lacewing

#endif // ROLLOUT_EXPOSUREBOUNDS_H
