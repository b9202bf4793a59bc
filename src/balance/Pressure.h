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

  void OnGoodTarget(TimePoint aNow);
  void OnNoGoodTarget(TimePoint aNow);

  bool IsHigh(TimePoint aNow) const;

private:
  DecayingValue goodSearches_;
  DecayingValue failedSearches_;
};

} // namespace lacewing

#endif // BALANCE_PRESSURE_H
