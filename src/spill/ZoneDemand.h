#ifndef SPILL_ZONEDEMAND_H
#define SPILL_ZONEDEMAND_H

namespace lacewing {

/** What a zone's own callers need, and what its targets can process. */
struct ZoneDemand
{
  /**
   * Requests of the zone's own callers in progress, in whichever zone they run.
   */
  double requests = 0;
  double slots = 0;
  /** Service time as a multiple of the usual one. */
  double slowdown = 1;

  /** The utilization of the zone's targets if no request crossed zones. */
  double Utilization() const { return slots > 0 ? requests / slots : 0; }
};

} // namespace lacewing

#endif // SPILL_ZONEDEMAND_H
