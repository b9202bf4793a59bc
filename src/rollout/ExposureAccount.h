#ifndef ROLLOUT_EXPOSUREACCOUNT_H
#define ROLLOUT_EXPOSUREACCOUNT_H

#include "lacewing/Clock.h"
#include "rollout/ExposureBounds.h"

#include <optional>

namespace lacewing {

/** Accounts for the attempts that an unproven version has had and may have. */
class ExposureAccount
{
public:
  ExposureAccount(ExposureBounds aBounds, Duration aPeriod);

  /**
   * Takes the totals since the order. aElapsed is the time from the order to
   * the moment at which they were counted. Totals without requests are ignored.
   */
  void OnTotals(Duration aElapsed, double aRequests, double aNewAttempts);

  /**
   * Attempts that an unproven version may have by the end of the period: 80 %
   * of the bound for the requests expected by then. The rest is for what is
   * sent until a rejection has reached all hosts.
   */
  double Allowed() const;
  /**
   * Attempts that the version will have had when it got aShare of the requests
   * for aTime after the totals were counted.
   */
  double After(Duration aTime, double aShare) const;
  /**
   * Requests a second since the first totals; zero until the totals cover half
   * a second. The counts of hosts that started later than the order lack
   * earlier requests, so they are not divided by the time since the order.
   */
  double RatePerSecond() const;
  /** Requests of the whole period that are expected, without lost counts. */
  double ExpectedRequests() const;

private:
  ExposureBounds bounds_;
  Duration period_;
  Duration elapsed_{ 0 };
  double requests_ = 0;
  double newAttempts_ = 0;
  /** The first totals. */
  std::optional<Duration> firstElapsed_;
  double firstRequests_ = 0;
};

} // namespace lacewing

#endif // ROLLOUT_EXPOSUREACCOUNT_H
