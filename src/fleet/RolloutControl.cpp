#include "fleet/RolloutControl.h"

#include "fleet/OrdersInProgress.h"
#include "fleet/RolloutMessenger.h"
#include "fleet/RolloutMetrics.h"
#include "fleet/RolloutOrders.h"
#include "fleet/VersionRules.h"
#include "rollout/DirectiveTable.h"
#include "rollout/RolloutOwner.h"

#include <utility>
#include <vector>

namespace lacewing {

struct RolloutControl::Impl
{
  const Clock& clock;
  const HostIdentity identity;
  PeerExchange& peers;
  const std::function<void()> rebuild;
  RolloutOrders orders;
  DirectiveTable directives;
  VersionRules rules;
  OrdersInProgress inProgress;
  /** Shared, since the traffic thread may respond to it later. */
  std::shared_ptr<RolloutMessenger> messenger;

  Impl(const Clock& aClock,
       const HostIdentity& aIdentity,
       const RolloutLimits& aLimits,
       const CatalogDecoder& aDecoder,
       CatalogSource& aSource,
       const SnapshotCell<LoadSnapshot>& aLoad,
       PeerExchange& aPeers,
       std::function<void()> aRebuild)
    : clock(aClock)
    , identity(aIdentity)
    , peers(aPeers)
    , rebuild(std::move(aRebuild))
    , orders(aDecoder)
    , rules(aClock, orders, directives, aLoad)
    , inProgress(aClock,
                 aSource,
                 ExposureBounds{ aLimits.exposeShare, aLimits.exposeSlack })
    , messenger(std::make_shared<RolloutMessenger>(aClock,
                                                   aIdentity,
                                                   aPeers,
                                                   inProgress,
                                                   directives))
  {
  }

  /** Makes changed directives and lists take effect on the traffic thread. */
  void Publish()
  {
    if (rules.Outdated()) {
      rebuild();
    }
    rules.PublishSplits();
  }

  /** Whether this host decides about the service's rollouts. */
  bool Decides(const ServiceId& aService) const
  {
    const std::vector<ZoneId> zones = peers.AliveZones();
    const ZoneId* zone = DecidingZone(aService, zones);
    if (zone == nullptr || *zone != identity.self.zone) {
      return false;
    }
    const std::vector<HostId> speakers = peers.Speakers();
    const HostId* host = DecidingHost(aService, speakers);
    return host != nullptr && *host == identity.self.host;
  }

  /** Returns whether the directive has changed. */
  bool Decide(OrderProgress& aProgress, const KnownOrder& aOrder)
  {
    const ServiceId& service = aProgress.order.service;
    if (!Decides(service)) {
      aProgress.decider.Stop();
      return false;
    }
    DeciderInput input;
    input.now = clock.Now();
    input.known = directives.Find(input.now, aProgress.order);
    input.zones = aProgress.evidence.Zones(peers.HostsByZone());
    input.unresponsiveHosts = peers.UnresponsiveHosts();
    input.newTargets = rules.NewTargets(service);
    input.oldTargets = rules.OldTargets(service);
    input.busySlots = rules.BusySlots(service);
    const RolloutDecision decision = aProgress.decider.Decide(aOrder, input);
    if (decision.directive) {
      directives.Merge(input.now, *decision.directive);
    }
    return decision.changed;
  }

  void Tick(WatchRole aRole)
  {
    messenger->CollectZone();
    bool changed = false;
    for (auto& [service, progress] : inProgress.All()) {
      const KnownOrder& known = *orders.Find(service);
      changed |= Decide(progress, known);
      progress.status.Update(aRole, known.order, directives);
    }
    Publish();
    messenger->Tick(changed);
  }
};

RolloutControl::RolloutControl(const Clock& aClock,
                               const HostIdentity& aIdentity,
                               const RolloutLimits& aLimits,
                               const CatalogDecoder& aDecoder,
                               CatalogSource& aSource,
                               const SnapshotCell<LoadSnapshot>& aLoad,
                               PeerExchange& aPeers,
                               std::function<void()> aRebuild)
  : impl_(std::make_unique<Impl>(aClock,
                                 aIdentity,
                                 aLimits,
                                 aDecoder,
                                 aSource,
                                 aLoad,
                                 aPeers,
                                 std::move(aRebuild)))
{
}

RolloutControl::~RolloutControl() = default;

void RolloutControl::SetEvidenceReader(EvidenceReader aReader)
{
  impl_->messenger->SetEvidenceReader(std::move(aReader));
}

void RolloutControl::OnCatalog(const CatalogReplica& aReplica)
{
  impl_->rules.OnOrders(impl_->orders.Update(aReplica, impl_->clock.Now()));
  impl_->directives.Retain(impl_->orders.Ids());
  impl_->inProgress.Update(impl_->orders);
}

bool RolloutControl::AwaitsOrders(const CatalogReplica& aReplica) const
{
  return !impl_->orders.Read() &&
         aReplica.PositionOf(CatalogKind::kRollout) != StorePosition();
}

void RolloutControl::ApplyVersions(FleetSnapshot& aSnapshot)
{
  impl_->rules.Apply(aSnapshot);
}

void RolloutControl::OnMessage(const PeerHeartbeat& aHeartbeat)
{
  impl_->messenger->OnMessage(aHeartbeat);
  impl_->Publish();
}

void RolloutControl::Tick(WatchRole aRole)
{
  impl_->Tick(aRole);
}

void RolloutControl::AddMetrics(MetricsPage& aPage) const
{
  for (const auto& [service, known] : impl_->orders.All()) {
    const TimePoint now = impl_->clock.Now();
    const OrderProgress* progress = impl_->inProgress.Find(known.order.id);
    AddRolloutMetrics(aPage,
                      known.order,
                      impl_->directives.InForce(now, known.order),
                      progress == nullptr ? nullptr : &progress->evidence,
                      now);
  }
}

} // namespace lacewing
