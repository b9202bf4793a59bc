#ifndef ROLLOUT_EVIDENCEMERGE_H
#define ROLLOUT_EVIDENCEMERGE_H

#include "lacewing/Clock.h"
#include "rollout/EvidenceSource.h"
#include "rollout/OrderId.h"
#include "rollout/RolloutEvidence.h"

#include <map>
#include <vector>

namespace lacewing {

/**
 * Merges the evidence of a zone's hosts into the zone's. The sums only grow:
 * a host that starts again or leaves takes nothing away from them.
 */
class EvidenceMerge
{
public:
  explicit EvidenceMerge(OrderId aOrder);

  /**
   * Takes a host's newest evidence, its own included. Evidence of another order
   * is ignored, and so are counts below those that the same run of the host
   * sent before, since their datagram was overtaken.
   */
  void OnEvidence(TimePoint aNow,
                  const EvidenceSource& aSource,
                  const RolloutEvidence& aEvidence);

  /**
   * Evidence of the zone. Its counts are those of all hosts ever seen; number
   * of hosts, lowest step, requests in progress and age are those of the hosts
   * in aLive that have sent evidence. Without any the number of hosts is zero.
   */
  RolloutEvidence Total(TimePoint aNow, const std::vector<HostId>& aLive) const;

private:
  struct Entry
  {
    EvidenceSource source;
    RolloutEvidence last;
    TimePoint countedAt;
  };

  OrderId order_;
  std::map<HostId, Entry> hosts_;
  RolloutEvidence sum_;
};

} // namespace lacewing

#endif // ROLLOUT_EVIDENCEMERGE_H
