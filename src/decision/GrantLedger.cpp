#include "decision/GrantLedger.h"

#include "decision/PhaseTable.h"

#include <algorithm>

namespace lacewing {

namespace {

// Grants of one lease; ids of the next lease start above.
constexpr std::uint64_t kIdsPerLease = std::uint64_t{ 1 } << 32;

// The conditional write that made the lease object proves that nobody held the
// lease before, so no grant can be in use.
constexpr Epoch kFirstLease{ 1 };

Duration GraceTime(const GrantTerms& aTerms, Epoch aLease)
{
  return aLease == kFirstLease
           ? Duration(0)
           : aTerms.margin.Lengthen(aTerms.grantTime + aTerms.longestDeadline);
}

} // namespace

GrantLedger::GrantLedger(const Clock& aClock,
                         const PhaseTable& aPhases,
                         const GrantTerms& aTerms,
                         Epoch aLease,
                         LeaseCheck aLeaseCheck)
  : clock_(aClock)
  , phases_(aPhases)
  , terms_(aTerms)
  , leaseCheck_(std::move(aLeaseCheck))
  , graceEnd_(aClock.Now() + GraceTime(aTerms, aLease))
  , lastId_(aLease.value() * kIdsPerLease)
{
}

void GrantLedger::OnWant(const GrantWant& aWant)
{
  if (phases_.Limit(aWant.target) == SlotCount(0)) {
    return;
  }
  const TimePoint now = clock_.Now();
  Askers& askers = targets_[aWant.target];
  if (askers.count(aWant.asker) == 0 && askers.size() >= terms_.maxAskers) {
    DropOld(askers, now);
    if (askers.size() >= terms_.maxAskers) {
      return;
    }
  }
  AskerState& asker = askers[aWant.asker];
  if (aWant.sent < asker.want.sent) {
    return;
  }
  asker.want = aWant;
  asker.wantUntil = now + terms_.wantTime;
}

void GrantLedger::OnReturn(const GrantReturn& aReturn)
{
  const auto target = targets_.find(aReturn.target);
  if (target == targets_.end()) {
    return;
  }
  const auto asker = target->second.find(aReturn.asker);
  if (asker == target->second.end()) {
    return;
  }
  auto& given = asker->second.given;
  given.erase(std::remove_if(given.begin(),
                             given.end(),
                             [&](const Given& aGiven) {
                               return aGiven.id <= aReturn.lastGrant;
                             }),
              given.end());
}

void GrantLedger::RemoveTarget(const TargetId& aTarget)
{
  targets_.erase(aTarget);
}

void GrantLedger::RaiseLongestDeadline(Duration aDeadline)
{
  if (aDeadline <= terms_.longestDeadline) {
    return;
  }
  const auto time = [this] {
    return terms_.margin.Lengthen(terms_.grantTime + terms_.longestDeadline);
  };
  const Duration before = time();
  terms_.longestDeadline = aDeadline;
  const Duration added = time() - before;
  if (clock_.Now() < graceEnd_) {
    graceEnd_ += added;
  }
  for (auto& target : targets_) {
    for (auto& asker : target.second) {
      for (Given& given : asker.second.given) {
        given.end += added;
      }
    }
  }
}

std::vector<Grant> GrantLedger::Give()
{
  std::vector<Grant> grants;
  const TimePoint now = clock_.Now();
  for (auto it = targets_.begin(); it != targets_.end();) {
    DropOld(it->second, now);
    if (it->second.empty()) {
      it = targets_.erase(it);
      continue;
    }
    if (now >= graceEnd_) {
      GiveTarget(it->first, it->second, grants);
    }
    ++it;
  }
  return grants;
}

SlotCount GrantLedger::Outstanding(const TargetId& aTarget) const
{
  const auto found = targets_.find(aTarget);
  return found == targets_.end() ? SlotCount(0) : Used(found->second);
}

SlotCount GrantLedger::Used(const AskerState& aAsker)
{
  // An asker uses only its latest grant, and requests sent under earlier ones
  // count towards it, so the largest grant bounds what is in progress.
  SlotCount used;
  for (const Given& given : aAsker.given) {
    used = std::max(used, given.slots);
  }
  return used;
}

SlotCount GrantLedger::Used(const Askers& aAskers)
{
  SlotCount used;
  for (const auto& asker : aAskers) {
    used += Used(asker.second);
  }
  return used;
}

void GrantLedger::DropOld(Askers& aAskers, TimePoint aNow) const
{
  for (auto it = aAskers.begin(); it != aAskers.end();) {
    AskerState& asker = it->second;
    auto& given = asker.given;
    given.erase(
      std::remove_if(given.begin(),
                     given.end(),
                     [&](const Given& aGiven) { return aGiven.end <= aNow; }),
      given.end());
    // An asker is remembered for the order of service for as long as a grant.
    const bool idle = given.empty() && asker.wantUntil <= aNow &&
                      asker.lastServed + terms_.grantTime <= aNow;
    it = idle ? aAskers.erase(it) : std::next(it);
  }
}

void GrantLedger::GiveTarget(const TargetId& aTarget,
                             Askers& aAskers,
                             std::vector<Grant>& aGrants)
{
  const TimePoint now = clock_.Now();
  const PhaseRecord phase = phases_.Get(aTarget);
  const std::uint32_t limit = phases_.Limit(aTarget).value();
  if (phase.phase == TargetPhase::kWarm) {
    return;
  }
  std::vector<AskerState*> waiting;
  std::uint32_t active = 0;
  bool othersHaveNone = false;
  for (auto& entry : aAskers) {
    AskerState& asker = entry.second;
    const bool wants = now < asker.wantUntil &&
                       asker.want.slots > SlotCount(0) &&
                       asker.want.epoch <= phase.epoch;
    const bool holds = Used(asker) > SlotCount(0);
    active += wants || holds ? 1 : 0;
    othersHaveNone = othersHaveNone || (wants && !holds);
    if (wants) {
      waiting.push_back(&asker);
    }
  }
  if (waiting.empty()) {
    return;
  }
  std::stable_sort(waiting.begin(), waiting.end(), [](auto aLeft, auto aRight) {
    return aLeft->lastServed < aRight->lastServed;
  });
  // While an asker has nothing, holders renew at most the equal share, so
  // that each asker gets its turn when there are more askers than slots.
  const std::uint32_t renewable = othersHaveNone ? limit / active : limit;
  const std::uint32_t share = (limit + active - 1) / active;
  std::uint32_t used = Used(aAskers).value();
  for (AskerState* asker : waiting) {
    const std::uint32_t held = Used(*asker).value();
    const std::uint32_t others = used - held;
    const std::uint32_t room = limit > others ? limit - others : 0;
    const std::uint32_t fair =
      std::max(std::min(held, renewable), held < share ? share : 0);
    const std::uint32_t slots =
      std::min({ asker->want.slots.value(), fair, room });
    if (slots == 0 || !leaseCheck_()) {
      continue;
    }
    Grant grant;
    grant.id = GrantId(++lastId_);
    grant.asker = asker->want.asker;
    grant.target = aTarget;
    grant.epoch = phase.epoch;
    grant.slots = SlotCount(slots);
    grant.wantSent = asker->want.sent;
    grant.time = terms_.grantTime;
    auto& given = asker->given;
    // The new grant ends last and covers every smaller one.
    given.erase(std::remove_if(given.begin(),
                               given.end(),
                               [&](const Given& aGiven) {
                                 return aGiven.slots <= grant.slots;
                               }),
                given.end());
    given.push_back({ grant.id,
                      grant.slots,
                      now + terms_.margin.Lengthen(terms_.grantTime +
                                                   terms_.longestDeadline) });
    used = others + std::max(held, slots);
    asker->lastServed = now;
    asker->wantUntil = now;
    aGrants.push_back(grant);
  }
}

} // namespace lacewing
