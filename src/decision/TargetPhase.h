#ifndef DECISION_TARGETPHASE_H
#define DECISION_TARGETPHASE_H

namespace lacewing {

/** How much work a target can bear after a start. */
enum class TargetPhase
{
  /** Bears only the service's cold limit, given out as grants. */
  kCold,
  /** Its limit grows from the cold limit to all slots, given out as grants. */
  kRamping,
  /** Bears all its slots; no grants are needed. */
  kWarm,
};

/** "cold", "ramping" or "warm". */
const char* ToString(TargetPhase aPhase);

} // namespace lacewing

#endif // DECISION_TARGETPHASE_H
