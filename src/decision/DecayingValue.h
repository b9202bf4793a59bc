#ifndef DECISION_DECAYINGVALUE_H
#define DECISION_DECAYINGVALUE_H

#include "lacewing/Clock.h"

namespace lacewing {

/** A value that halves each half-life. */
class DecayingValue
{
public:
  explicit DecayingValue(Duration aHalfLife)
    : halfLife_(aHalfLife)
  {
  }

  double At(TimePoint aNow) const;
  /** Adds to the decayed value; the sum stays within aMost. */
  void Add(TimePoint aNow, double aAmount, double aMost);
  void Set(TimePoint aNow, double aValue);

private:
  Duration halfLife_;
  TimePoint time_;
  double value_ = 0;
};

} // namespace lacewing

#endif // DECISION_DECAYINGVALUE_H
