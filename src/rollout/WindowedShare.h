#ifndef ROLLOUT_WINDOWEDSHARE_H
#define ROLLOUT_WINDOWEDSHARE_H

#include "lacewing/Clock.h"

namespace lacewing {

/** Share of bad responses in an exponentially decaying window. */
class WindowedShare
{
public:
  explicit WindowedShare(Duration aWindow);

  void Add(TimePoint aNow, double aCount, double aBad);

  /** The share when attempts were added last. */
  double Share() const;
  /** Decayed number of attempts in the window. */
  double CountAt(TimePoint aNow) const;

private:
  double Weight(TimePoint aNow) const;

  Duration window_;
  TimePoint at_;
  double count_ = 0;
  double bad_ = 0;
};

/**
 * The share of aBad in aCount, at least 1 % and drawn towards 1 % for small
 * counts.
 */
double ShrunkShare(double aCount, double aBad);

} // namespace lacewing

#endif // ROLLOUT_WINDOWEDSHARE_H
