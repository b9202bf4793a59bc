#ifndef ROLLOUT_ZONEEVIDENCETABLE_H
#define ROLLOUT_ZONEEVIDENCETABLE_H

#include "lacewing/Clock.h"
#include "lacewing/ZoneId.h"
#include "rollout/EvidenceSource.h"
#include "rollout/OrderId.h"
#include "rollout/RolloutEvidence.h"
#include "rollout/ZoneEvidence.h"

#include <map>

namespace lacewing {

/**
 * The newest evidence of each zone. Each zone has two speakers whose sums
 * differ slightly; evidence is taken from one of them until it has been silent
 * for a second, since alternating sums would count the difference repeatedly.
 */
class ZoneEvidenceTable
{
public:
  explicit ZoneEvidenceTable(OrderId aOrder);

  /** Takes evidence that a speaker sent, this host's own zone included. */
  void OnEvidence(TimePoint aNow,
                  const ZoneId& aZone,
                  const EvidenceSource& aSpeaker,
                  const RolloutEvidence& aEvidence);

  /** The evidence of one zone, of which aLiveHosts hosts are alive. */
  ZoneEvidence Of(const ZoneId& aZone, unsigned aLiveHosts) const;

private:
  struct Entry
  {
    EvidenceSource speaker;
    TimePoint receivedAt;
    TimePoint countedAt;
    RolloutEvidence evidence;
  };

  OrderId order_;
  std::map<ZoneId, Entry> zones_;
};

} // namespace lacewing

#endif // ROLLOUT_ZONEEVIDENCETABLE_H
