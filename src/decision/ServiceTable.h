#ifndef DECISION_SERVICETABLE_H
#define DECISION_SERVICETABLE_H

#include "decision/EngineOptions.h"
#include "decision/HeldGrant.h"
#include "decision/RoutingSnapshot.h"
#include "decision/ServiceState.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace lacewing {

/** One worker's services and the grants for their targets. */
class ServiceTable
{
public:
  explicit ServiceTable(const EngineOptions& aOptions);

  /** Null when the service is not in the configuration. */
  ServiceState* Find(const ServiceId& aService);
  /** Services of the snapshot and those that still have requests. */
  const std::map<ServiceId, std::unique_ptr<ServiceState>>& All() const
  {
    return services_;
  }

  /** Updates only what differs from the last snapshot. */
  void SetSnapshot(std::shared_ptr<const RoutingSnapshot> aSnapshot);
  /** Replaces every grant; returns the services whose targets changed. */
  std::vector<ServiceState*> SetGrants(const std::vector<HeldGrant>& aGrants);
  /** Forgets services that left the configuration and have no requests. */
  void RemoveUnused();

private:
  struct Place
  {
    ServiceState* service;
    ServiceState::Target target;
  };

  void Update(ServiceState& aService,
              const std::shared_ptr<const ServiceRoute>& aRoute);

  EngineOptions options_;
  std::shared_ptr<const RoutingSnapshot> snapshot_;
  std::map<ServiceId, std::unique_ptr<ServiceState>> services_;
  std::unordered_map<TargetId, Place> places_;
  std::unordered_map<TargetId, HeldGrant> grants_;
};

} // namespace lacewing

#endif // DECISION_SERVICETABLE_H
