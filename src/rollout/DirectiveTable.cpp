#include "rollout/DirectiveTable.h"

#include "rollout/DirectivePrecedence.h"

#include <algorithm>
#include <limits>

namespace lacewing {

namespace {

constexpr std::uint32_t kFullShare = 10000;
// Times from messages are bounded so that sums of them stay in range.
constexpr Duration kMaxTime = std::chrono::hours(24);

Duration Bounded(Duration aTime)
{
  return std::clamp(aTime, Duration(0), kMaxTime);
}

bool IsKnownVerdict(const RolloutDirective& aDirective)
{
  return aDirective.verdict <=
         static_cast<std::uint32_t>(RolloutVerdict::kAdopted);
}

RolloutDirective Final(const RolloutOrder& aOrder)
{
  const bool completed = aOrder.status.state == RolloutState::kCompleted;
  RolloutDirective directive;
  directive.order = aOrder.id;
  directive.step = std::numeric_limits<std::uint32_t>::max();
  directive.shareBasisPoints = completed ? kFullShare : 0;
  directive.verdict = static_cast<std::uint32_t>(
    completed ? RolloutVerdict::kAdopted : RolloutVerdict::kRejected);
  return directive;
}

} // namespace

bool DirectiveTable::Merge(TimePoint aNow, const RolloutDirective& aDirective)
{
  if (!IsKnownVerdict(aDirective) || aDirective.shareBasisPoints > kFullShare) {
    return false;
  }
  const TimePoint confirmedAt = aNow - Bounded(aDirective.age);
  const TimePoint startedAt = aNow - Bounded(aDirective.elapsed);
  const auto [place, added] = entries_.try_emplace(
    aDirective.order, Entry{ aDirective, confirmedAt, startedAt });
  if (added) {
    return true;
  }
  Entry& entry = place->second;
  entry.startedAt = std::min(entry.startedAt, startedAt);
  if (TakesPrecedence(entry.directive, aDirective)) {
    return false;
  }
  if (!TakesPrecedence(aDirective, entry.directive)) {
    entry.confirmedAt = std::max(entry.confirmedAt, confirmedAt);
    return false;
  }
  entry.directive = aDirective;
  entry.confirmedAt = confirmedAt;
  return true;
}

std::optional<RolloutDirective> DirectiveTable::Find(
  TimePoint aNow,
  const OrderId& aOrder) const
{
  const auto found = entries_.find(aOrder);
  if (found == entries_.end()) {
    return std::nullopt;
  }
  RolloutDirective directive = found->second.directive;
  directive.age = aNow - found->second.confirmedAt;
  directive.elapsed = aNow - found->second.startedAt;
  return directive;
}

RolloutDirective DirectiveTable::InForce(TimePoint aNow,
                                         const RolloutOrder& aOrder) const
{
  if (aOrder.Ended()) {
    return Final(aOrder);
  }
  std::optional<RolloutDirective> known = Find(aNow, aOrder.id);
  if (!known) {
    known.emplace();
    known->order = aOrder.id;
  }
  if (aNow >= ValidUntil(aOrder.id)) {
    known->shareBasisPoints = 0;
  }
  return *known;
}

TimePoint DirectiveTable::ValidUntil(const OrderId& aOrder) const
{
  const auto found = entries_.find(aOrder);
  if (found == entries_.end()) {
    return TimePoint::min();
  }
  return IsProven(found->second.directive.Verdict())
           ? TimePoint::max()
           : found->second.confirmedAt + kDirectiveTtl;
}

std::vector<RolloutDirective> DirectiveTable::All(TimePoint aNow) const
{
  std::vector<RolloutDirective> all;
  for (const auto& entry : entries_) {
    all.push_back(*Find(aNow, entry.first));
  }
  return all;
}

void DirectiveTable::Retain(const std::vector<OrderId>& aOrders)
{
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    const bool kept =
      std::find(aOrders.begin(), aOrders.end(), entry->first) != aOrders.end();
    entry = kept ? std::next(entry) : entries_.erase(entry);
  }
}

} // namespace lacewing
