#ifndef FLEET_TARGETREADINESS_H
#define FLEET_TARGETREADINESS_H

#include "balance/FleetTarget.h"
#include "balance/LoadSnapshot.h"
#include "lacewing/Incarnation.h"

#include <map>
#include <vector>

namespace lacewing {

/**
 * Tells which targets of a version are warm. A host has readings of the targets
 * of its own zone; another target counts as warm when it has been listed for
 * its service's warm-up time.
 */
class TargetReadiness
{
public:
  /** Notes the targets of a service, of which others are forgotten. */
  void Update(TimePoint aNow,
              const ServiceId& aService,
              const std::vector<FleetTarget>& aTargets,
              Duration aWarmUp,
              const LoadSnapshot& aLoad);

  /**
   * Whether the target was seen to be warm since its start. Whether it can take
   * a request now is left to the search for a target.
   */
  bool IsWarm(const FleetTarget& aTarget) const;

  /**
   * Slots that requests occupy at aTargets. Those without a reading are taken
   * to be as busy as the others.
   */
  static double BusySlots(const std::vector<FleetTarget>& aTargets,
                          const LoadSnapshot& aLoad);

private:
  struct Listed
  {
    Incarnation incarnation;
    TimePoint since;
    bool warm = false;
  };

  static bool HasWarmedUp(TimePoint aNow,
                          TimePoint aSince,
                          Duration aWarmUp,
                          const LoadReading* aReading);

  std::map<ServiceId, std::map<TargetId, Listed>> services_;
};

} // namespace lacewing

#endif // FLEET_TARGETREADINESS_H
