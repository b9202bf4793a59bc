#ifndef ROLLOUT_EVIDENCELEDGER_H
#define ROLLOUT_EVIDENCELEDGER_H

#include "lacewing/ZoneId.h"
#include "rollout/RolloutEvidence.h"
#include "rollout/ZoneEvidence.h"

#include <map>
#include <vector>

namespace lacewing {

/** What the deciding host has taken into account of the zones' evidence. */
class EvidenceLedger
{
public:
  /**
   * Takes the newest evidence of the zones and returns its growth since the
   * last call. What a zone counted before its first evidence here is part of
   * the growth only if aWithFirst: a host that continues another's rollout
   * collects its own proof.
   */
  RolloutEvidence Take(const std::vector<ZoneEvidence>& aZones,
                       bool aWithFirst);

  /** Growth of all zones since the order, also of zones that are lost. */
  const RolloutEvidence& Totals() const { return totals_; }
  /** Whether a warm target of the new version has responded yet. */
  bool HasNewResponses() const;

private:
  std::map<ZoneId, RolloutEvidence> zones_;
  RolloutEvidence totals_;
};

} // namespace lacewing

#endif // ROLLOUT_EVIDENCELEDGER_H
