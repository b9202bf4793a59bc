#ifndef FLEET_ORDEREVIDENCE_H
#define FLEET_ORDEREVIDENCE_H

#include "lacewing/HostId.h"
#include "lacewing/ZoneId.h"
#include "rollout/EvidenceMerge.h"
#include "rollout/EvidenceSource.h"
#include "rollout/RolloutEvidence.h"
#include "rollout/ZoneEvidence.h"
#include "rollout/ZoneEvidenceTable.h"

#include <map>
#include <vector>

namespace lacewing {

/** What this host knows of the evidence about one order. */
class OrderEvidence
{
public:
  explicit OrderEvidence(const OrderId& aOrder);

  /** Evidence of this host, counted at aNow. */
  void OnOwn(TimePoint aNow,
             const EvidenceSource& aSelf,
             const RolloutEvidence& aEvidence);
  /** Evidence of another host of this host's zone. */
  void OnHost(TimePoint aNow,
              const EvidenceSource& aHost,
              const RolloutEvidence& aEvidence);
  /** Evidence of a zone, as one of its speakers sent it. */
  void OnZone(TimePoint aNow,
              const ZoneId& aZone,
              const EvidenceSource& aSpeaker,
              const RolloutEvidence& aEvidence);

  /** This host's evidence, with its age at aNow. */
  RolloutEvidence Own(TimePoint aNow) const;
  /** Evidence of this host's zone; aLive are its live hosts. */
  RolloutEvidence Zone(TimePoint aNow, const std::vector<HostId>& aLive) const;
  /** Evidence of each zone of aHosts, which has the number of live hosts. */
  std::vector<ZoneEvidence> Zones(
    const std::map<ZoneId, unsigned>& aHosts) const;

private:
  EvidenceMerge merge_;
  ZoneEvidenceTable zones_;
  RolloutEvidence own_;
  TimePoint ownAt_;
};

} // namespace lacewing

#endif // FLEET_ORDEREVIDENCE_H
