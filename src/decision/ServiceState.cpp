#include "decision/ServiceState.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <utility>

namespace lacewing {

namespace {

// Slow answers in a row that count as a latency jump; single long requests
// are common in services with mixed work.
constexpr unsigned kJumpAnswers = 5;
// When more targets than one in four need grants, slow answers rather come
// from a fault that the targets share, and starting all of them cold would
// take away the service's capacity.
constexpr std::size_t kJumpTargets = 4;
// Weight of a new report in the mean over targets.
constexpr double kReportWeight = 1.0 / 32;
// A target that is held back is looked at again after this part of the usual
// answer time, within the bounds.
constexpr int kRecheckPart = 8;
constexpr Duration kShortestRecheck = std::chrono::milliseconds(1);
constexpr Duration kLongestRecheck = std::chrono::milliseconds(20);
// Without a usable target only events help, or the end of a draining pause.
constexpr Duration kIdleRecheck = std::chrono::milliseconds(200);

} // namespace

ServiceState::ServiceState(ServiceId aId,
                           std::unique_ptr<RoutingStrategy> aStrategy,
                           BasisPoints aRetryBudget)
  : id_(std::move(aId))
  , strategy_(std::move(aStrategy))
  , retries_(aRetryBudget)
{
}

void ServiceState::Update(std::shared_ptr<const ServiceRoute> aRoute,
                          const ZoneId& aOwnZone)
{
  std::map<TargetId, Target> known;
  for (const Target& target : targets_) {
    known.emplace(target->Route().id, target);
  }
  targets_.clear();
  route_ = std::move(aRoute);
  if (!route_) {
    return;
  }
  for (const TargetRoute& route : route_->targets) {
    const auto found = known.find(route.id);
    if (found == known.end()) {
      targets_.push_back(std::make_shared<TargetView>(route, aOwnZone));
    } else {
      found->second->Update(route, aOwnZone);
      targets_.push_back(found->second);
    }
  }
}

ServiceState::Target ServiceState::Pick(const OpenRequest& aRequest,
                                        TimePoint aNow,
                                        std::mt19937_64& aRandom)
{
  RoutingContext context{
    aNow,          targets_,          aRandom,
    route_->slots, ConnectionLimit(), typical_.Value(),
    slow_.Value(), usualOthers_,      aNow - aRequest.arrived
  };
  if (targets_.size() > 1) {
    context.avoid = aRequest.last.get();
  }
  const auto index = strategy_->Pick(context);
  assert(!index || context.Allows(*index));
  return index ? targets_[*index] : nullptr;
}

Duration ServiceState::RecheckAfter(TimePoint aNow) const
{
  const SlotCount limit = std::min(ConnectionLimit(), route_->slots);
  const bool heldBack =
    std::any_of(targets_.begin(), targets_.end(), [&](const Target& aTarget) {
      return aTarget->MaySend(aNow, limit);
    });
  return heldBack ? std::clamp(typical_.Value() / kRecheckPart,
                               kShortestRecheck,
                               kLongestRecheck)
                  : kIdleRecheck;
}

void ServiceState::OnRequest()
{
  retries_.OnRequest();
  used_ = true;
}

void ServiceState::OnSent(TargetView& aTarget, TimePoint aNow)
{
  active_ = true;
  aTarget.OnSent(aNow);
  ++inFlight_;
}

void ServiceState::OnAnswered(TargetView& aTarget,
                              TimePoint aNow,
                              TimePoint aSent,
                              const AttemptAnswer& aAnswer)
{
  active_ = true;
  --inFlight_;
  aTarget.OnAnswered(aNow, aSent, aAnswer, slow_.Value());
  if (!aAnswer.notRun && aAnswer.status < 500) {
    typical_.Add(aNow - aSent);
    slow_.Add(aNow - aSent, typical_.Value());
  }
  if (aAnswer.reportedLoad && route_) {
    const double others =
      std::max(0.0,
               std::min(*aAnswer.reportedLoad, 2.0) * route_->slots.value() -
                 aTarget.InFlight().value());
    usualOthers_ += (others - usualOthers_) * kReportWeight;
  }
  if (LatencyJumped(aTarget)) {
    aTarget.MarkCold();
  }
}

void ServiceState::OnFailed(TargetView& aTarget,
                            TimePoint aNow,
                            TimePoint aSent,
                            AttemptFailure aFailure)
{
  active_ = true;
  --inFlight_;
  aTarget.OnFailed(aNow, aSent, aFailure);
}

void ServiceState::OnCancelled(TargetView& aTarget,
                               TimePoint aNow,
                               TimePoint aSent)
{
  active_ = true;
  --inFlight_;
  aTarget.OnCancelled(aNow, aSent, slow_.Value());
}

Duration ServiceState::ExpectedWait() const
{
  // Little's law: requests in progress / answer time = answers per time.
  const auto ahead = static_cast<Duration::rep>(waiting_.size());
  const auto running =
    static_cast<Duration::rep>(std::max<std::size_t>(1, inFlight_));
  return typical_.Value() * ahead / running;
}

void ServiceState::ReportWanted()
{
  if (!route_ || (!used_ && waiting_.empty())) {
    return;
  }
  used_ = false;
  // An even part of the work in progress and of the waiting requests; at
  // least one, because a target without work never becomes warm.
  const std::size_t count = std::max<std::size_t>(1, targets_.size());
  const std::size_t work =
    std::max<std::size_t>(1, inFlight_ + waiting_.size());
  const std::size_t part = (work + count - 1) / count;
  const SlotCount wanted(static_cast<std::uint32_t>(
    std::min<std::size_t>(part, route_->slots.value())));
  for (const Target& target : targets_) {
    if (target->NeedsGrant()) {
      target->OnWanted(wanted);
    }
  }
}

void ServiceState::TakeObservations(
  TimePoint aNow,
  std::vector<TargetObservation>& aObservations)
{
  // Looking at all of 15,000 targets ten times a second took 1.9 % of a core.
  if (!std::exchange(active_, false) && waiting_.empty()) {
    return;
  }
  ReportWanted();
  for (const Target& target : targets_) {
    if (auto seen = target->TakeObservation(aNow)) {
      aObservations.push_back(*std::move(seen));
    }
  }
}

SlotCount ServiceState::ConnectionLimit() const
{
  // Each request in progress takes one connection.
  return std::max(SlotCount(1), SlotCount(route_->connections.value()));
}

bool ServiceState::LatencyJumped(const TargetView& aTarget) const
{
  if (aTarget.SlowAnswers() < kJumpAnswers) {
    return false;
  }
  const auto needing =
    std::count_if(targets_.begin(), targets_.end(), [](const Target& aOther) {
      return aOther->NeedsGrant();
    });
  return (static_cast<std::size_t>(needing) + 1) * kJumpTargets <=
         targets_.size();
}

} // namespace lacewing
