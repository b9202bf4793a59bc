#ifndef BALANCE_PRESSURE_H
#define BALANCE_PRESSURE_H

#include "decision/DecayingValue.h"
#include "lacewing/Clock.h"

namespace lacewing {

/**
 * How often searches lately found no target with room. Under pressure, second
 * attempts and many questions take room from first attempts.
 */
class Pressure
{
public:
  Pressure();

  void OnFound(TimePoint aNow);
  void OnNoRoom(TimePoint aNow);

  bool High(TimePoint aNow) const;

private:
  DecayingValue found_;
  DecayingValue noRoom_;
};

} // namespace lacewing

#endif // BALANCE_PRESSURE_H
