#ifndef QUOTA_RECENTUSE_H
#define QUOTA_RECENTUSE_H

#include "lacewing/Clock.h"

namespace lacewing {

/** How often something happens, as a mean over about the last second. */
class RecentUse
{
public:
  void Count(TimePoint aNow);

  /** Events a second. */
  double PerSecond(TimePoint aNow) const;

private:
  double events_ = 0;
  TimePoint at_;
};

} // namespace lacewing

#endif // QUOTA_RECENTUSE_H
