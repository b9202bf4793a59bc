#ifndef GATEWAY_VERSIONTRAFFIC_H
#define GATEWAY_VERSIONTRAFFIC_H

#include "balance/FleetSnapshot.h"
#include "catalog/TargetSpec.h"
#include "lacewing/RouteName.h"
#include "rollout/AttemptEvidence.h"
#include "rollout/RolloutEvidence.h"

#include <cstdint>
#include <map>
#include <random>
#include <vector>

namespace lacewing {

/**
 * Counts what a host's requests show of the versions of services with an order
 * in progress, and the requests in progress at targets of each version.
 */
class VersionTraffic
{
public:
  /** Counts nothing unless aEnabled. */
  VersionTraffic(std::uint64_t aSeed, bool aEnabled);

  /** Whether a request is among the part aShare of all, by a random draw. */
  bool Draw(double aShare);

  /** A request for the service of aRollout began. */
  void OnRequest(const VersionTargets& aRollout);
  void OnSent(const FleetSnapshot& aFleet, const TargetSpec& aTarget);
  /** An attempt ended on aRoute; aEvidence is what it says of the version. */
  void OnEnded(const FleetSnapshot& aFleet,
               const TargetSpec& aTarget,
               const RouteName& aRoute,
               AttemptEvidence aEvidence);

  /**
   * The counts of the orders in progress, each with the step of aFleet, which
   * must be the snapshot that requests follow now.
   */
  std::vector<RolloutEvidence> Evidence(const FleetSnapshot& aFleet);

  /** Forgets the counts of orders that are not in progress any more. */
  void Retain(const FleetSnapshot& aFleet);

private:
  /** Null if the service has no order in progress. */
  RolloutEvidence* EvidenceOf(const FleetSnapshot& aFleet,
                              const ServiceId& aService);
  RolloutEvidence& EvidenceOf(const VersionTargets& aRollout);
  static RouteEvidence& RouteOf(RolloutEvidence& aEvidence,
                                const RouteName& aRoute);
  unsigned OldInFlight(const OrderId& aOrder) const;

  const bool enabled_;
  std::mt19937_64 random_;
  std::map<ServiceId, RolloutEvidence> evidence_;
  std::map<ServiceId, std::map<ServiceVersion, unsigned>> inFlight_;
};

/** The number by which evidence refers to a route; never 0. */
std::uint32_t EvidenceKeyOf(const RouteName& aRoute);

} // namespace lacewing

#endif // GATEWAY_VERSIONTRAFFIC_H
