#ifndef GATEWAY_TRAFFICSTATE_H
#define GATEWAY_TRAFFICSTATE_H

#include "admission/Pressure.h"
#include "balance/FleetSnapshot.h"
#include "balance/LoadSnapshot.h"
#include "balance/ProbeBudgets.h"
#include "balance/RecentHosts.h"
#include "balance/RetryWindow.h"
#include "balance/SplitCursor.h"
#include "balance/TargetChooser.h"
#include "balance/TargetObservations.h"
#include "core/BufferBudget.h"
#include "core/SnapshotCell.h"
#include "gateway/GatewayCounters.h"
#include "gateway/GatewayOptions.h"
#include "gateway/OpenWork.h"
#include "gateway/RouteStatistics.h"
#include "gateway/TargetConnectionPool.h"
#include "gateway/VersionTraffic.h"
#include "quota/AllowanceGate.h"
#include "spill/SpillDraw.h"

#include <asio/io_context.hpp>

#include <map>
#include <memory>
#include <optional>

namespace lacewing {

/**
 * State of the traffic thread that its requests share: target connections,
 * statistics and counters. Only the traffic thread uses it.
 */
class TrafficState
{
public:
  TrafficState(asio::io_context& aContext,
               const Clock& aClock,
               const GatewayOptions& aOptions,
               const SnapshotCell<FleetSnapshot>& aFleet,
               const SnapshotCell<LoadSnapshot>& aLoad,
               AllowanceGate::Asker aAsker = nullptr);

  asio::io_context& Context() { return context_; }
  TimePoint Now() const { return clock_.Now(); }
  const HeaderNames& Names() const { return options_.names; }

  std::shared_ptr<const FleetSnapshot> Fleet() const { return fleet_.Get(); }
  std::shared_ptr<const LoadSnapshot> Load() const { return load_.Get(); }

  TargetConnectionPool& Pool() { return pool_; }
  /** The memory for bodies of requests and responses in progress. */
  const std::shared_ptr<BufferBudget>& Buffers() const { return buffers_; }
  /** Requests and searches that have not ended. */
  OpenWork& Open() { return open_; }
  /** Null if the deployment's settings ask for no limits over all hosts. */
  AllowanceGate* Allowances() { return allowances_.get(); }
  TargetChooser& Chooser() { return *chooser_; }
  GatewayCounters& Counters() { return counters_; }
  /** What requests have shown of the versions of services. */
  VersionTraffic& Versions() { return versions_; }

  TargetObservations& ViewOf(const TargetId& aTarget)
  {
    return views_[aTarget];
  }
  /** The hosts that share a limit which holds at a target; at least one. */
  unsigned SharingHosts(const FleetSnapshot& aFleet);
  /** The budget of probes for the service's targets; null without a limit. */
  std::shared_ptr<ProbeBudget> ProbeBudgetOf(const ServiceId& aService,
                                             const FleetSnapshot& aFleet);
  void SetProbeLimits(const ProbeLimits& aLimits)
  {
    probeBudgets_.SetLimits(aLimits);
  }
  RetryWindow& RetryWindowOf(const ServiceId& aService);
  void SetRetryTerms(const RetryLimits& aTerms);
  SplitCursor& SplitOf(const RouteName& aRoute) { return splits_[aRoute]; }
  RouteStatistics& StatisticsOf(const RouteSpec& aRoute);

  /** The zone that a request is sent to first; empty for the usual ranking. */
  ZoneId DrawZone(const ServiceId& aService, ByteCount aBytes)
  {
    return spillDraw_.Next(Load()->spill.get(), aService, aBytes, Now());
  }

  /** How often searches for the service's targets recently found no good one.
   */
  Pressure& PressureOf(const ServiceId& aService)
  {
    return pressure_[aService];
  }

  /** The process is about to stop: connections close after their response. */
  bool Draining() const { return drainEnd_.has_value(); }
  /** Requests with a deadline after aEnd are refused from now on. */
  void SetDrainEnd(TimePoint aEnd) { drainEnd_ = aEnd; }

  /** Whether the process may stop before a request with this deadline ends. */
  bool EndsBefore(TimePoint aDeadline) const
  {
    return drainEnd_ && *drainEnd_ < aDeadline;
  }

  TimePoint LastRequest() const { return lastRequest_; }
  void RecordRequest(TimePoint aAt) { lastRequest_ = aAt; }

  /** Drops the views of removed targets; closes expired connections. */
  void CleanUp();

private:
  asio::io_context& context_;
  const Clock& clock_;
  const GatewayOptions options_;
  RetryLimits retryTerms_;
  const SnapshotCell<FleetSnapshot>& fleet_;
  const SnapshotCell<LoadSnapshot>& load_;
  const std::shared_ptr<BufferBudget> buffers_;
  GatewayCounters counters_;
  TargetConnectionPool pool_;
  std::unique_ptr<TargetChooser> chooser_;
  SpillDraw spillDraw_;
  VersionTraffic versions_;
  /** Hosts that share the limits at a target. */
  RecentHosts hosts_;
  ProbeBudgets probeBudgets_;
  std::map<TargetId, TargetObservations> views_;
  std::map<ServiceId, RetryWindow> retryWindows_;
  std::map<ServiceId, Pressure> pressure_;
  std::map<RouteName, SplitCursor> splits_;
  std::map<RouteName, RouteStatistics> routeStatistics_;
  std::optional<TimePoint> drainEnd_;
  TimePoint lastRequest_;
  std::unique_ptr<AllowanceGate> allowances_;
  /** The last member, because requests use the others when they end. */
  OpenWork open_;
};

} // namespace lacewing

#endif // GATEWAY_TRAFFICSTATE_H
