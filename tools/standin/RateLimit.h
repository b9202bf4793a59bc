#ifndef STANDIN_RATELIMIT_H
#define STANDIN_RATELIMIT_H

#include "lacewing/Clock.h"

namespace lacewing {

/** Token bucket that holds at most the calls of one second. */
class RateLimit
{
public:
  RateLimit(const Clock& aClock, double aPerSecond);

  /** Takes a token; false when there is none. */
  bool Take();

  void SetRate(double aPerSecond);

private:
  const Clock& clock_;
  double perSecond_;
  double tokens_;
  TimePoint filled_;
};

} // namespace lacewing

#endif // STANDIN_RATELIMIT_H
