#include "decision/PhaseTable.h"

#include <algorithm>

namespace lacewing {

PhaseTable::PhaseTable(const Clock& aClock)
  : clock_(aClock)
{
}

void PhaseTable::SetTarget(const TargetId& aTarget, const WarmUp& aWarmUp)
{
  Entry& entry = entries_[aTarget];
  entry.record.target = aTarget;
  entry.warmUp = aWarmUp;
}

void PhaseTable::RemoveTarget(const TargetId& aTarget)
{
  entries_.erase(aTarget);
}

PhaseRecord PhaseTable::Get(const TargetId& aTarget) const
{
  const auto found = entries_.find(aTarget);
  if (found != entries_.end()) {
    return found->second.record;
  }
  PhaseRecord unknown;
  unknown.target = aTarget;
  return unknown;
}

std::vector<PhaseRecord> PhaseTable::All() const
{
  std::vector<PhaseRecord> records;
  records.reserve(entries_.size());
  for (const auto& entry : entries_) {
    records.push_back(entry.second.record);
  }
  return records;
}

bool PhaseTable::Merge(const PhaseRecord& aRecord)
{
  const auto found = entries_.find(aRecord.target);
  if (found == entries_.end()) {
    return false;
  }
  Entry& entry = found->second;
  if (aRecord.epoch < entry.record.epoch ||
      (aRecord.epoch == entry.record.epoch &&
       aRecord.phase <= entry.record.phase)) {
    return false;
  }
  if (entry.record.epoch < aRecord.epoch) {
    StartEpoch(entry, aRecord.epoch);
  }
  if (aRecord.phase != TargetPhase::kCold) {
    // A later lease holder restarts the ramp here, which errs towards less
    // load.
    entry.record.phase = aRecord.phase;
    entry.since = clock_.Now();
  }
  return true;
}

std::optional<PhaseRecord> PhaseTable::OnColdSign(const TargetId& aTarget,
                                                  const InstanceId& aInstance)
{
  const auto found = entries_.find(aTarget);
  if (found == entries_.end()) {
    return std::nullopt;
  }
  Entry& entry = found->second;
  const bool known = !aInstance.empty() && aInstance == entry.instance;
  if (entry.record.phase == TargetPhase::kCold || known) {
    return std::nullopt;
  }
  StartEpoch(entry, entry.record.epoch + Epoch(1));
  entry.instance = aInstance;
  return entry.record;
}

void PhaseTable::OnGoodAnswer(const TargetId& aTarget,
                              const InstanceId& aInstance)
{
  const auto found = entries_.find(aTarget);
  if (found == entries_.end()) {
    return;
  }
  Entry& entry = found->second;
  const bool other = !aInstance.empty() && !entry.instance.empty() &&
                     aInstance != entry.instance;
  if (entry.record.phase == TargetPhase::kCold && (!entry.since || other)) {
    entry.since = clock_.Now();
    entry.instance = aInstance;
  }
  if (entry.instance.empty()) {
    entry.instance = aInstance;
  }
}

std::optional<PhaseRecord> PhaseTable::Advance(const TargetId& aTarget)
{
  const auto found = entries_.find(aTarget);
  if (found == entries_.end() || !found->second.since) {
    return std::nullopt;
  }
  Entry& entry = found->second;
  const TimePoint now = clock_.Now();
  const Duration passed = now - *entry.since;
  if (entry.record.phase == TargetPhase::kCold &&
      passed >= entry.warmUp.coldTime) {
    entry.record.phase = TargetPhase::kRamping;
    entry.since = now;
    return entry.record;
  }
  if (entry.record.phase == TargetPhase::kRamping &&
      passed >= entry.warmUp.rampTime) {
    entry.record.phase = TargetPhase::kWarm;
    return entry.record;
  }
  return std::nullopt;
}

SlotCount PhaseTable::Limit(const TargetId& aTarget) const
{
  const auto found = entries_.find(aTarget);
  if (found == entries_.end()) {
    return SlotCount(0);
  }
  const Entry& entry = found->second;
  const SlotCount all = entry.warmUp.slots;
  const SlotCount cold = std::min(all, entry.warmUp.coldLimit);
  switch (entry.record.phase) {
    case TargetPhase::kCold:
      return cold;
    case TargetPhase::kWarm:
      return all;
    case TargetPhase::kRamping:
      break;
  }
  if (!entry.since || entry.warmUp.rampTime <= Duration(0)) {
    return cold;
  }
  const double part =
    std::min(1.0,
             std::chrono::duration<double>(clock_.Now() - *entry.since) /
               std::chrono::duration<double>(entry.warmUp.rampTime));
  return cold + SlotCount(static_cast<std::uint32_t>((all - cold).value() *
                                                     std::max(0.0, part)));
}

void PhaseTable::StartEpoch(Entry& aEntry, Epoch aEpoch)
{
  aEntry.record.epoch = aEpoch;
  aEntry.record.phase = TargetPhase::kCold;
  aEntry.instance = InstanceId();
  aEntry.since.reset();
}

} // namespace lacewing
