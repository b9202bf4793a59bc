#include "control/PhaseManager.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

// Entries of about 60 bytes, so that a message stays below 64 KB.
constexpr std::size_t kMaxEntries = 1000;

// Bounds what peers can make this process keep; above the 15,000 targets of
// the size that the design is made for.
constexpr std::size_t kMaxEarly = 20000;

} // namespace

PhaseManager::PhaseManager(const Clock& aClock,
                           const TargetIndex& aIndex,
                           PeerLinks& aLinks,
                           LeaseCheck aHolds)
  : index_(aIndex)
  , links_(aLinks)
  , holds_(std::move(aHolds))
  , phases_(aClock)
{
}

void PhaseManager::OnConfig()
{
  for (auto target = known_.begin(); target != known_.end();) {
    if (index_.Find(*target) == nullptr) {
      phases_.RemoveTarget(*target);
      moving_.erase(*target);
      target = known_.erase(target);
    } else {
      ++target;
    }
  }
  std::vector<PhaseRecord> changed;
  for (const auto& [target, entry] : index_.All()) {
    phases_.SetTarget(target, entry.warmUp);
    known_.insert(target);
    const auto early = early_.find(target);
    if (early == early_.end()) {
      continue;
    }
    if (phases_.Merge(early->second)) {
      Note(early->second);
      changed.push_back(early->second);
    }
    early_.erase(early);
  }
  if (!changed.empty()) {
    links_.Send(links_.Entries(), Message(changed));
  }
}

void PhaseManager::KeepEarly(const PhaseRecord& aRecord)
{
  if (early_.size() >= kMaxEarly && early_.count(aRecord.target) == 0) {
    return;
  }
  PhaseRecord& kept = early_.emplace(aRecord.target, aRecord).first->second;
  if (kept.epoch < aRecord.epoch ||
      (kept.epoch == aRecord.epoch && kept.phase < aRecord.phase)) {
    kept = aRecord;
  }
}

void PhaseManager::Note(const PhaseRecord& aRecord)
{
  // A cold target starts to move with its first good answer.
  if (aRecord.phase == TargetPhase::kRamping) {
    moving_.insert(aRecord.target);
  } else {
    moving_.erase(aRecord.target);
  }
}

TargetStateMessage PhaseManager::Message(
  const std::vector<PhaseRecord>& aRecords)
{
  TargetStateMessage message;
  for (const PhaseRecord& record : aRecords) {
    message.targets.push_back({ record.target, record.epoch, record.phase });
  }
  return message;
}

void PhaseManager::OnReady(LinkId aLink)
{
  std::vector<PhaseRecord> records = phases_.All();
  // Cold in epoch zero is what everybody assumes anyway.
  records.erase(std::remove_if(records.begin(),
                               records.end(),
                               [](const PhaseRecord& aRecord) {
                                 return aRecord.epoch == Epoch(0) &&
                                        aRecord.phase == TargetPhase::kCold;
                               }),
                records.end());
  for (std::size_t i = 0; i < records.size(); i += kMaxEntries) {
    const std::size_t end = std::min(records.size(), i + kMaxEntries);
    links_.Send(
      aLink,
      Message({ records.begin() + static_cast<std::ptrdiff_t>(i),
                records.begin() + static_cast<std::ptrdiff_t>(end) }));
  }
}

void PhaseManager::Tell(const std::vector<PhaseRecord>& aRecords)
{
  if (aRecords.empty()) {
    return;
  }
  const TargetStateMessage message = Message(aRecords);
  links_.Send(links_.Entries(), message);
  links_.Send(links_.Controls(), message);
}

void PhaseManager::OnReport(const TargetReportMessage& aReport)
{
  std::vector<PhaseRecord> changed;
  for (const TargetReportEntry& entry : aReport.targets) {
    if (!entry.looksCold) {
      if (entry.answered > 0) {
        OnGoodAnswer(entry);
      }
      continue;
    }
    // A sign seen before the current epoch was known is part of it.
    if (entry.epoch < phases_.Get(entry.target).epoch) {
      continue;
    }
    if (const auto record = phases_.OnColdSign(entry.target, entry.instance)) {
      Note(*record);
      changed.push_back(*record);
    }
  }
  Tell(changed);
}

void PhaseManager::OnGoodAnswer(const TargetReportEntry& aEntry)
{
  phases_.OnGoodAnswer(aEntry.target, aEntry.instance);
  if (known_.count(aEntry.target) > 0 &&
      phases_.Get(aEntry.target).phase != TargetPhase::kWarm) {
    moving_.insert(aEntry.target);
  }
}

void PhaseManager::OnState(LinkId aFrom,
                           const TargetStateMessage& aMessage,
                           bool aForward)
{
  TargetStateMessage changed;
  for (const TargetStateEntry& entry : aMessage.targets) {
    const PhaseRecord record{ entry.target, entry.epoch, entry.phase };
    if (known_.count(entry.target) == 0) {
      KeepEarly(record);
    } else if (phases_.Merge(record)) {
      Note(record);
      changed.targets.push_back(entry);
    }
  }
  if (changed.targets.empty()) {
    return;
  }
  links_.Send(links_.Entries(), changed);
  if (aForward) {
    std::vector<LinkId> others = links_.Controls();
    others.erase(std::remove(others.begin(), others.end(), aFrom),
                 others.end());
    links_.Send(others, changed);
  }
}

void PhaseManager::OnTimer()
{
  std::vector<PhaseRecord> changed;
  for (const TargetId& target : moving_) {
    const TargetIndex::Entry* entry = index_.Find(target);
    if (entry == nullptr || !holds_(entry->shard)) {
      continue;
    }
    if (const auto record = phases_.Advance(target)) {
      changed.push_back(*record);
    }
  }
  for (const PhaseRecord& record : changed) {
    Note(record);
  }
  Tell(changed);
}

} // namespace lacewing
