#include "fleet/OrderDecider.h"

#include "fleet/RolloutLog.h"
#include "rollout/EvidenceCounts.h"

#include <string>
#include <utility>

namespace lacewing {

namespace {

/** "ROUTE:OLD_BAD/OLD,NEW_BAD/NEW" of each route, separated by spaces. */
std::string RoutesText(const RolloutEvidence& aEvidence)
{
  std::string text;
  for (const RouteEvidence& route : aEvidence.routes) {
    text += (text.empty() ? "" : " ") + std::to_string(route.route) + ":" +
            std::to_string(route.oldBad) + "/" +
            std::to_string(route.oldCount) + "," +
            std::to_string(route.newBad) + "/" + std::to_string(route.newCount);
  }
  return text;
}

RolloutEvidence Total(const std::vector<ZoneEvidence>& aZones)
{
  RolloutEvidence total;
  for (const ZoneEvidence& zone : aZones) {
    AddCounts(total, zone.evidence);
  }
  return total;
}

/** The zones of which no evidence is known, or not of all live hosts. */
std::string MissingText(const std::vector<ZoneEvidence>& aZones)
{
  std::string text;
  for (const ZoneEvidence& zone : aZones) {
    if (!zone.countedAt || zone.evidence.hosts < zone.liveHosts) {
      text += (text.empty() ? "" : ",") + zone.zone.value() + ":" +
              std::to_string(zone.countedAt ? zone.evidence.hosts : 0) + "/" +
              std::to_string(zone.liveHosts);
    }
  }
  return text;
}

} // namespace

OrderDecider::OrderDecider(ExposureBounds aBounds)
  : bounds_(aBounds)
{
}

void OrderDecider::Stop()
{
  decider_.reset();
  loggedReason_.reset();
}

RolloutDecision OrderDecider::Decide(const KnownOrder& aOrder,
                                     const DeciderInput& aInput)
{
  if (!decider_) {
    decider_.emplace(aOrder.order, bounds_, aOrder.readAt);
    LogRollout(LogLevel::kInfo, aOrder.order.id, "decided here");
  }
  RolloutDecision decision = decider_->Decide(aInput);
  LogDecision(aOrder.order.id, aInput, decision);
  return decision;
}

void OrderDecider::LogDecision(const OrderId& aOrder,
                               const DeciderInput& aInput,
                               const RolloutDecision& aDecision)
{
  if (!aDecision.changed && loggedReason_ == aDecision.reason) {
    return;
  }
  loggedReason_ = aDecision.reason;
  const RolloutEvidence total = Total(aInput.zones);
  std::vector<LogField> fields = {
    { "reason", ToString(aDecision.reason) },
    { "requests", std::to_string(total.requests) },
    { "new_attempts", std::to_string(total.newAttempts) },
    { "routes", RoutesText(total) },
    { "new_targets", std::to_string(aInput.newTargets.targets) },
    { "new_slots", std::to_string(aInput.newTargets.slots.value()) },
    { "busy_slots", std::to_string(static_cast<int>(aInput.busySlots)) },
    { "missing", MissingText(aInput.zones) },
    { "unresponsive", std::to_string(aInput.unresponsiveHosts) }
  };
  if (aDecision.badRoute) {
    fields.push_back({ "bad_route", std::to_string(*aDecision.badRoute) });
  }
  if (!aDecision.changed) {
    LogRollout(LogLevel::kInfo, aOrder, "waits", fields);
    return;
  }
  const RolloutDirective& directive = *aDecision.directive;
  fields.push_back({ "step", std::to_string(directive.step) });
  fields.push_back({ "share_bp", std::to_string(directive.shareBasisPoints) });
  fields.push_back({ "verdict", ToString(directive.Verdict()) });
  const bool rejected = directive.Verdict() == RolloutVerdict::kRejected;
  LogRollout(rejected ? LogLevel::kWarning : LogLevel::kInfo,
             aOrder,
             rejected ? "rejected" : "step",
             fields);
}

} // namespace lacewing
