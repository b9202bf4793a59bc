#ifndef FLEET_ROLLOUTRECEIVERS_H
#define FLEET_ROLLOUTRECEIVERS_H

namespace lacewing {

/** The hosts that a message about rollouts is sent to. */
enum class RolloutReceivers
{
  /** The speakers of this host's zone. */
  kSpeakers,
  /** All live hosts of this host's zone. */
  kZone,
  /** The speakers of the other zones. */
  kOtherZones,
};

} // namespace lacewing

#endif // FLEET_ROLLOUTRECEIVERS_H
