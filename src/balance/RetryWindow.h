#ifndef BALANCE_RETRYWINDOW_H
#define BALANCE_RETRYWINDOW_H

#include "balance/RetryLimits.h"
#include "lacewing/Clock.h"

#include <deque>

namespace lacewing {

/**
 * Limits this host's retries to one service in any RetryLimits::window. The
 * host may use the configured ratio of its own requests plus an equal part of
 * the slack, so that all hosts together keep the limits without exchanging
 * messages.
 */
class RetryWindow
{
public:
  explicit RetryWindow(const RetryLimits& aLimits)
    : limits_(aLimits)
  {
  }

  /** Applies new limits, also to requests and retries already counted. */
  void SetLimits(const RetryLimits& aLimits) { limits_ = aLimits; }

  /** Counts the first attempt of a request. */
  void CountRequest(TimePoint aNow);

  /**
   * Counts one retry if the limits allow it, else returns false. aHosts is the
   * number of live hosts that share the slack.
   */
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
