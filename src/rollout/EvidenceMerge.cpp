#include "rollout/EvidenceMerge.h"

#include "rollout/EvidenceCounts.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

bool IsOvertaken(const RolloutEvidence& aNewest, const RolloutEvidence& aLate)
{
  return aLate.requests < aNewest.requests ||
         aLate.newAttempts < aNewest.newAttempts;
}

} // namespace

EvidenceMerge::EvidenceMerge(OrderId aOrder)
  : order_(std::move(aOrder))
{
}

void EvidenceMerge::OnEvidence(TimePoint aNow,
                               const EvidenceSource& aSource,
                               const RolloutEvidence& aEvidence)
{
  if (aEvidence.order != order_) {
    return;
  }
  Entry& entry = hosts_[aSource.host];
  if (entry.source != aSource) {
    // A run that is not known yet counts from zero.
    entry = Entry{ aSource, {}, aNow - aEvidence.age };
  } else if (IsOvertaken(entry.last, aEvidence)) {
    return;
  }
  AddCounts(sum_, GrowthOf(entry.last, aEvidence));
  entry.last = aEvidence;
  entry.countedAt = std::max(entry.countedAt, aNow - aEvidence.age);
}

RolloutEvidence EvidenceMerge::Total(TimePoint aNow,
                                     const std::vector<HostId>& aLive) const
{
  RolloutEvidence total = sum_;
  total.order = order_;
  total.hosts = 0;
  for (const HostId& host : aLive) {
    const auto found = hosts_.find(host);
    if (found == hosts_.end()) {
      continue;
    }
    const Entry& entry = found->second;
    total.step = total.hosts == 0 ? entry.last.step
                                  : std::min(total.step, entry.last.step);
    total.oldInFlight += entry.last.oldInFlight;
    total.age = std::max(total.age, aNow - entry.countedAt);
    ++total.hosts;
  }
  return total;
}

} // namespace lacewing
