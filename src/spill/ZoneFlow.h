#ifndef SPILL_ZONEFLOW_H
#define SPILL_ZONEFLOW_H

namespace lacewing {

/** Requests in progress that cross a zone's border; one of the two is zero. */
struct ZoneFlow
{
  double out = 0;
  double in = 0;
};

} // namespace lacewing

#endif // SPILL_ZONEFLOW_H
