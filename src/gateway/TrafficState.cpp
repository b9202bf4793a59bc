#include "gateway/TrafficState.h"

#include <set>
#include <utility>

namespace lacewing {

TrafficState::TrafficState(asio::io_context& aContext,
                           const Clock& aClock,
                           const GatewayOptions& aOptions,
                           const SnapshotCell<FleetSnapshot>& aFleet,
                           const SnapshotCell<LoadSnapshot>& aLoad,
                           AllowanceGate::Asker aAsker)
  : context_(aContext)
  , clock_(aClock)
  , options_(aOptions)
  , retryTerms_(aOptions.retries)
  , fleet_(aFleet)
  , load_(aLoad)
  , buffers_(std::make_shared<BufferBudget>(aOptions.maxBuffered))
  , pool_(aContext, aClock, buffers_, counters_)
  , chooser_(MakeEarliestResponseChooser(aOptions.seed))
  , spillDraw_(aOptions.seed, aOptions.spillUsage.get())
  , versions_(aOptions.seed, aOptions.countsVersions)
  , hosts_(aClock.Now())
  , probeBudgets_(aOptions.probes)
  , allowances_(
      aAsker
        ? std::make_unique<AllowanceGate>(aContext, aClock, std::move(aAsker))
        : nullptr)
{
}

unsigned TrafficState::SharingHosts(const FleetSnapshot& aFleet)
{
  const TimePoint now = Now();
  hosts_.Update(now, aFleet.hosts);
  std::size_t targets = 0;
  if (!hosts_.Known(now)) {
    for (const auto& [service, each] : aFleet.targets) {
      targets += each.size();
    }
  }
  return hosts_.Sharing(now, targets);
}

std::shared_ptr<ProbeBudget> TrafficState::ProbeBudgetOf(
  const ServiceId& aService,
  const FleetSnapshot& aFleet)
{
  const TimePoint now = Now();
  const auto targets = aFleet.targets.find(aService);
  ProbeShare share;
  share.targets = targets == aFleet.targets.end() ? 0 : targets->second.size();
  share.hosts = SharingHosts(aFleet);
  share.alive = aFleet.hosts;
  share.provisional = !hosts_.Known(now);
  return probeBudgets_.Of(aService, share, now);
}

RetryWindow& TrafficState::RetryWindowOf(const ServiceId& aService)
{
  return retryWindows_.try_emplace(aService, retryTerms_).first->second;
}

void TrafficState::SetRetryTerms(const RetryLimits& aTerms)
{
  retryTerms_ = aTerms;
  for (auto& [service, window] : retryWindows_) {
    window.SetLimits(aTerms);
  }
}

RouteStatistics& TrafficState::StatisticsOf(const RouteSpec& aRoute)
{
  return routeStatistics_.try_emplace(aRoute.name, aRoute).first->second;
}

void TrafficState::CleanUp()
{
  pool_.CloseExpired();
  const auto fleet = Fleet();
  // Also without requests, so that the count before a partition is known.
  hosts_.Update(Now(), fleet->hosts);
  std::set<TargetId> known;
  for (const auto& [service, targets] : fleet->targets) {
    for (const FleetTarget& target : targets) {
      known.insert(target.spec.id);
    }
  }
  for (const auto& [service, rollout] : fleet->rollouts) {
    for (const FleetTarget& target : rollout.canary) {
      known.insert(target.spec.id);
    }
  }
  versions_.Retain(*fleet);
  for (auto view = views_.begin(); view != views_.end();) {
    const bool idle = view->second.InFlight() == 0;
    view = idle && known.count(view->first) == 0 ? views_.erase(view)
                                                 : std::next(view);
  }
}

} // namespace lacewing
