#include "rollout/ZoneEvidenceTable.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

// Twice the interval of digests: one may be lost.
constexpr Duration kSpeakerSilence = std::chrono::seconds(1);

} // namespace

ZoneEvidenceTable::ZoneEvidenceTable(OrderId aOrder)
  : order_(std::move(aOrder))
{
}

void ZoneEvidenceTable::OnEvidence(TimePoint aNow,
                                   const ZoneId& aZone,
                                   const EvidenceSource& aSpeaker,
                                   const RolloutEvidence& aEvidence)
{
  if (aEvidence.order != order_) {
    return;
  }
  const TimePoint countedAt = aNow - aEvidence.age;
  const auto found = zones_.find(aZone);
  if (found == zones_.end()) {
    zones_[aZone] = Entry{ aSpeaker, aNow, countedAt, aEvidence };
    return;
  }
  Entry& entry = found->second;
  const bool overtaken = aEvidence.requests < entry.evidence.requests ||
                         aEvidence.newAttempts < entry.evidence.newAttempts;
  const bool wanted = entry.speaker == aSpeaker
                        ? !overtaken
                        : entry.speaker.host == aSpeaker.host ||
                            aNow - entry.receivedAt > kSpeakerSilence;
  if (wanted) {
    entry = Entry{ aSpeaker, aNow, countedAt, aEvidence };
  }
}

ZoneEvidence ZoneEvidenceTable::Of(const ZoneId& aZone,
                                   unsigned aLiveHosts) const
{
  ZoneEvidence zone;
  zone.zone = aZone;
  zone.liveHosts = aLiveHosts;
  const auto found = zones_.find(aZone);
  if (found != zones_.end()) {
    zone.countedAt = found->second.countedAt;
    zone.evidence = found->second.evidence;
  }
  return zone;
}

} // namespace lacewing
