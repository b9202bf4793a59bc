#include "fleet/VersionRules.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

constexpr double kFullShare = 10000;

} // namespace

VersionRules::VersionRules(const Clock& aClock,
                           const RolloutOrders& aOrders,
                           const DirectiveTable& aDirectives,
                           const SnapshotCell<LoadSnapshot>& aLoad)
  : clock_(aClock)
  , orders_(aOrders)
  , directives_(aDirectives)
  , load_(aLoad)
{
}

void VersionRules::OnOrders(const std::vector<OrderId>& aGone)
{
  const TimePoint now = clock_.Now();
  if (orders_.Read()) {
    hold_.OnOrdersRead(now);
  }
  for (const OrderId& order : aGone) {
    hold_.Hold(now, order.service, order.version);
  }
}

void VersionRules::Apply(FleetSnapshot& aSnapshot)
{
  const TimePoint now = clock_.Now();
  HoldBack(aSnapshot, now);
  for (auto each = applied_.begin(); each != applied_.end();) {
    each = orders_.Find(each->first) == nullptr ? applied_.erase(each)
                                                : std::next(each);
  }
  for (const auto& [service, order] : orders_.All()) {
    Divide(aSnapshot, order, now);
  }
}

/** Removes targets of new versions, except those that an order names. */
void VersionRules::HoldBack(FleetSnapshot& aSnapshot, TimePoint aNow)
{
  for (const auto& [service, targets] : aSnapshot.targets) {
    std::set<ServiceVersion> versions;
    for (const FleetTarget& target : targets) {
      versions.insert(target.spec.version);
    }
    hold_.Update(aNow, service, versions);
  }
  nextRelease_ = hold_.NextRelease(aNow);
  if (!nextRelease_) {
    return;
  }
  for (auto& [service, targets] : aSnapshot.targets) {
    const KnownOrder* known = orders_.Find(service);
    const auto held = [&](const FleetTarget& aTarget) {
      const ServiceVersion& version = aTarget.spec.version;
      const bool ordered =
        known != nullptr && known->order.id.version == version;
      return !ordered && hold_.IsHeld(aNow, aTarget.spec.service, version);
    };
    targets.erase(std::remove_if(targets.begin(), targets.end(), held),
                  targets.end());
  }
}

void VersionRules::Divide(FleetSnapshot& aSnapshot,
                          const KnownOrder& aOrder,
                          TimePoint aNow)
{
  const OrderId& id = aOrder.order.id;
  Applied& applied = applied_[id.service];
  if (!applied.split || applied.order != id) {
    applied.order = id;
    applied.replaced.clear();
    applied.split = std::make_shared<SnapshotCell<VersionSplit>>(
      std::make_shared<const VersionSplit>());
  }
  const ServiceSpec* service =
    aSnapshot.routes ? aSnapshot.routes->Service(id.service) : nullptr;
  applied.warmUp = service == nullptr ? Duration(0) : service->warmUp;
  const auto targets = aSnapshot.targets.find(id.service);
  applied.targets = targets == aSnapshot.targets.end()
                      ? std::vector<FleetTarget>()
                      : targets->second;
  if (aOrder.InProgress()) {
    NoteReplaced(applied);
  }
  const RolloutDirective directive = InForce(aOrder, aNow);
  VersionLists lists = ListsOf(applied, aOrder, directive, aNow);
  applied.step = directive.step;
  applied.canary = IdsOf(lists.canary);
  if (targets != aSnapshot.targets.end()) {
    targets->second = std::move(lists.usual);
  }
  VersionTargets& rollout = aSnapshot.rollouts[id.service];
  rollout.order = id;
  rollout.step = directive.step;
  rollout.inProgress = aOrder.InProgress();
  rollout.canary = std::move(lists.canary);
  rollout.split = applied.split;
}

RolloutDirective VersionRules::InForce(const KnownOrder& aOrder,
                                       TimePoint aNow) const
{
  if (aOrder.order.Ended() || aOrder.InProgress()) {
    return directives_.InForce(aNow, aOrder.order);
  }
  RolloutDirective none;
  none.order = aOrder.order.id;
  return none;
}

VersionLists VersionRules::ListsOf(const Applied& aApplied,
                                   const KnownOrder& aOrder,
                                   const RolloutDirective& aDirective,
                                   TimePoint aNow)
{
  const OrderId& id = aOrder.order.id;
  if (aOrder.order.Ended() &&
      aOrder.order.status.state == RolloutState::kCompleted) {
    return { UsableAfter(aApplied), {} };
  }
  const auto load = load_.Get();
  readiness_.Update(aNow, id.service, aApplied.targets, aApplied.warmUp, *load);
  std::set<TargetId> warm;
  for (const FleetTarget& target : aApplied.targets) {
    if (target.spec.version == id.version && readiness_.IsWarm(target)) {
      warm.insert(target.spec.id);
    }
  }
  return VersionLists::Make(
    aApplied.targets,
    aDirective,
    warm,
    hold_.WasUsed(aOrder.readAt, id.service, id.version));
}

void VersionRules::NoteReplaced(Applied& aApplied)
{
  for (const FleetTarget& target : aApplied.targets) {
    if (target.spec.version != aApplied.order.version) {
      aApplied.replaced[target.spec.id] = target.spec.incarnation;
    }
  }
}

std::vector<FleetTarget> VersionRules::UsableAfter(const Applied& aApplied)
{
  const auto isOrdered = [&](const FleetTarget& aTarget) {
    return aTarget.spec.version == aApplied.order.version;
  };
  std::optional<Incarnation> firstStart;
  for (const FleetTarget& target : aApplied.targets) {
    if (isOrdered(target)) {
      firstStart = std::min(firstStart.value_or(target.spec.incarnation),
                            target.spec.incarnation);
    }
  }
  std::vector<FleetTarget> usable;
  for (const FleetTarget& target : aApplied.targets) {
    const Incarnation start = target.spec.incarnation;
    const auto replaced = aApplied.replaced.find(target.spec.id);
    const bool isReplaced =
      (replaced != aApplied.replaced.end() && replaced->second == start) ||
      (firstStart && start <= *firstStart);
    if (isOrdered(target) || !isReplaced) {
      usable.push_back(target);
    }
  }
  return usable.empty() ? aApplied.targets : usable;
}

bool VersionRules::Outdated()
{
  const TimePoint now = clock_.Now();
  if (nextRelease_ && *nextRelease_ <= now) {
    return true;
  }
  return std::any_of(
    orders_.All().begin(), orders_.All().end(), [&](const auto& aEach) {
      const auto& [service, known] = aEach;
      const auto applied = applied_.find(service);
      if (applied == applied_.end() ||
          applied->second.order != known.order.id) {
        return true;
      }
      const RolloutDirective directive = InForce(known, now);
      if (directive.step != applied->second.step) {
        return true;
      }
      return !known.order.Ended() &&
             IdsOf(ListsOf(applied->second, known, directive, now).canary) !=
               applied->second.canary;
    });
}

void VersionRules::PublishSplits()
{
  const TimePoint now = clock_.Now();
  for (const auto& [service, known] : orders_.All()) {
    const auto applied = applied_.find(service);
    if (applied == applied_.end() || known.order.Ended()) {
      continue;
    }
    const RolloutDirective directive = InForce(known, now);
    auto split = std::make_shared<VersionSplit>();
    split->order = known.order.id;
    split->step = directive.step;
    split->newShare = directive.shareBasisPoints / kFullShare;
    split->validUntil = directives_.ValidUntil(known.order.id);
    split->proven = IsProven(directive.Verdict());
    applied->second.split->Publish(std::move(split));
  }
}

VersionCapacity VersionRules::NewTargets(const ServiceId& aService) const
{
  return CapacityOf(aService, true);
}

VersionCapacity VersionRules::OldTargets(const ServiceId& aService) const
{
  return CapacityOf(aService, false);
}

VersionCapacity VersionRules::CapacityOf(const ServiceId& aService,
                                         bool aOrdered) const
{
  VersionCapacity capacity;
  const auto applied = applied_.find(aService);
  if (applied == applied_.end()) {
    return capacity;
  }
  std::uint32_t slots = 0;
  for (const FleetTarget& target : applied->second.targets) {
    const bool isOrdered = target.spec.version == applied->second.order.version;
    if (isOrdered == aOrdered && readiness_.IsWarm(target)) {
      ++capacity.targets;
      slots += target.spec.slots.value();
    }
  }
  capacity.slots = SlotCount(slots);
  return capacity;
}

double VersionRules::BusySlots(const ServiceId& aService) const
{
  const auto applied = applied_.find(aService);
  if (applied == applied_.end()) {
    return 0;
  }
  std::vector<FleetTarget> old;
  std::vector<FleetTarget> ordered;
  for (const FleetTarget& target : applied->second.targets) {
    const bool isNew = target.spec.version == applied->second.order.version;
    (isNew ? ordered : old).push_back(target);
  }
  const auto load = load_.Get();
  return TargetReadiness::BusySlots(old, *load) +
         TargetReadiness::BusySlots(ordered, *load);
}

std::set<TargetId> VersionRules::IdsOf(const std::vector<FleetTarget>& aTargets)
{
  std::set<TargetId> ids;
  for (const FleetTarget& target : aTargets) {
    ids.insert(target.spec.id);
  }
  return ids;
}

} // namespace lacewing
