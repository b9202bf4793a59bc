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
class RepeatWindow
{
public:
  explicit RepeatWindow(const RepeatTerms& aTerms)
    : terms_(aTerms)
  {
  }

  /** Other terms hold from now on, also for what was counted before. */
  void SetTerms(const RepeatTerms& aTerms) { terms_ = aTerms; }

  void CountRequest(TimePoint aNow);

  /** Takes one repeat; false when the window has no room. */
  bool Take(TimePoint aNow, unsigned aHosts);

private:
  struct Bucket
  {
    TimePoint start;
    double requests = 0;
    double repeats = 0;
  };

  Bucket& BucketAt(TimePoint aNow);

  RepeatTerms terms_;
  std::deque<Bucket> buckets_;
};

} // namespace lacewing

#endif // BALANCE_RETRYWINDOW_H
