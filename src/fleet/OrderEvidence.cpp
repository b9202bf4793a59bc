#include "fleet/OrderEvidence.h"

namespace lacewing {

namespace {

// Evidence of a greater age is of no use, and one from the future is an error.
constexpr Duration kMaxAge = std::chrono::seconds(60);

bool IsPlausible(const RolloutEvidence& aEvidence)
{
  return aEvidence.age >= Duration(0) && aEvidence.age <= kMaxAge;
}

} // namespace

OrderEvidence::OrderEvidence(const OrderId& aOrder)
  : merge_(aOrder)
  , zones_(aOrder)
{
  own_.order = aOrder;
}

void OrderEvidence::OnOwn(TimePoint aNow,
                          const EvidenceSource& aSelf,
                          const RolloutEvidence& aEvidence)
{
  own_ = aEvidence;
  ownAt_ = aNow;
  merge_.OnEvidence(aNow, aSelf, aEvidence);
}

void OrderEvidence::OnHost(TimePoint aNow,
                           const EvidenceSource& aHost,
                           const RolloutEvidence& aEvidence)
{
  if (IsPlausible(aEvidence)) {
    merge_.OnEvidence(aNow, aHost, aEvidence);
  }
}

void OrderEvidence::OnZone(TimePoint aNow,
                           const ZoneId& aZone,
                           const EvidenceSource& aSpeaker,
                           const RolloutEvidence& aEvidence)
{
  if (IsPlausible(aEvidence)) {
    zones_.OnEvidence(aNow, aZone, aSpeaker, aEvidence);
  }
}

RolloutEvidence OrderEvidence::Own(TimePoint aNow) const
{
  RolloutEvidence own = own_;
  own.age = aNow - ownAt_;
  return own;
}

RolloutEvidence OrderEvidence::Zone(TimePoint aNow,
                                    const std::vector<HostId>& aLive) const
{
  return merge_.Total(aNow, aLive);
}

std::vector<ZoneEvidence> OrderEvidence::Zones(
  const std::map<ZoneId, unsigned>& aHosts) const
{
  std::vector<ZoneEvidence> zones;
  for (const auto& [zone, hosts] : aHosts) {
    zones.push_back(zones_.Of(zone, hosts));
  }
  return zones;
}

} // namespace lacewing
