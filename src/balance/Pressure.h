#ifndef BALANCE_PRESSURE_H
#define BALANCE_PRESSURE_H

#include "decision/DecayingValue.h"
#include "lacewing/Clock.h"

namespace lacewing {

/**
 * How often searches lately found no good target: quiet and not nearly full.
 * Under pressure, second attempts, last slots and many questions take room
 * from first attempts.
 */
class Pressure
{
public:
  Pressure();

  void OnGood(TimePoint aNow);
  void OnNoneGood(TimePoint aNow);

  bool High(TimePoint aNow) const;

private:
  DecayingValue good_;
  DecayingValue noneGood_;
};

} // namespace lacewing

#endif // BALANCE_PRESSURE_H
