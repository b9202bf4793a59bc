#ifndef DECISION_CLOCKMARGIN_H
#define DECISION_CLOCKMARGIN_H

#include "lacewing/BasisPoints.h"
#include "lacewing/Clock.h"

namespace lacewing {

/**
 * Margin for a period that one host measures and another relies on. The
 * side that uses a permission shortens the period, the side that waits for
 * its end lengthens it. The defaults are those of the design page, section 6.
 */
struct ClockMargin
{
  /** Largest deviation of a clock's rate: 1 %. */
  BasisPoints rateError{ 100 };
  /** Longest unnoticed pause between a check and the act it allows. */
  Duration pause = std::chrono::milliseconds(50);

  Duration Shorten(Duration aPeriod) const;
  Duration Lengthen(Duration aPeriod) const;
};

} // namespace lacewing

#endif // DECISION_CLOCKMARGIN_H
