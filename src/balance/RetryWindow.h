#ifndef BALANCE_RETRYWINDOW_H
#define BALANCE_RETRYWINDOW_H

#include "balance/RetryLimits.h"
#include "lacewing/Clock.h"

#include <deque>

namespace lacewing {

/**
 * Bounds this host's repeats to a service in any window to the terms' share of
 * its own requests plus its part of the slack, so that the sum over all hosts
 * keeps the terms without messages.
 */
class RetryWindow
{
public:
  explicit RetryWindow(const RetryLimits& aLimits)
    : limits_(aLimits)
  {
  }

  /** Other terms hold from now on, also for what was counted before. */
  void SetLimits(const RetryLimits& aLimits) { limits_ = aLimits; }

  void CountRequest(TimePoint aNow);

  /** Takes one repeat; false when the window has no room. */
  bool Take(TimePoint aNow, unsigned aHosts);

private:
  struct Bucket
  {
    TimePoint start;
    double requests = 0;
    double retries = 0;
  };

  Bucket& BucketAt(TimePoint aNow);

  RetryLimits limits_;
  std::deque<Bucket> buckets_;
};

} // namespace lacewing

#endif // BALANCE_RETRYWINDOW_H
