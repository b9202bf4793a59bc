#include "control/GrantManager.h"

#include "decision/PhaseTable.h"

#include <algorithm>
#include <utility>

namespace lacewing {

GrantManager::GrantManager(const Clock& aClock,
                           const HostId& aSelf,
                           const TargetIndex& aIndex,
                           const PhaseTable& aPhases,
                           const LeaseDirectory& aDirectory,
                           PeerLinks& aLinks,
                           LeaseCheck aHolds)
  : clock_(aClock)
  , self_(aSelf)
  , index_(aIndex)
  , phases_(aPhases)
  , directory_(aDirectory)
  , links_(aLinks)
  , holds_(std::move(aHolds))
{
}

void GrantManager::OnLeaseHeld(ShardId aShard, Epoch aEpoch)
{
  GrantTerms terms;
  terms.longestDeadline =
    std::max<Duration>(terms.longestDeadline, index_.LongestDeadline());
  ledgers_.erase(aShard);
  ledgers_.emplace(aShard,
                   GrantLedger(clock_, phases_, terms, aEpoch, [this, aShard] {
                     return holds_(aShard);
                   }));
}

void GrantManager::OnConfig()
{
  for (auto& [shard, ledger] : ledgers_) {
    ledger.RaiseLongestDeadline(index_.LongestDeadline());
  }
}

template<class Message, class Entry>
void GrantManager::Forward(ShardId aShard,
                           const Entry& aEntry,
                           std::vector<Entry> Message::*aList,
                           std::map<LinkId, Message>& aMessages)
{
  const HostId holder = directory_.Holder(aShard);
  const auto link =
    holder.empty() || holder == self_ ? std::nullopt : links_.LinkTo(holder);
  if (!link) {
    ++counts_.unroutable;
    if (!holder.empty() && holder != self_) {
      unreached_.push_back(holder);
    }
    return;
  }
  (aMessages[*link].*aList).push_back(aEntry);
}

template<class Message, class Entry>
void GrantManager::Route(LinkId aLink,
                         const std::vector<Entry>& aEntries,
                         std::vector<Entry> Message::*aList,
                         void (GrantManager::*aTake)(ShardId, const Entry&))
{
  const HelloMessage* hello = links_.HelloOf(aLink);
  if (hello == nullptr) {
    return;
  }
  const bool own = hello->role == WireRole::kEntry;
  std::map<LinkId, Message> messages;
  for (const Entry& given : aEntries) {
    const TargetIndex::Entry* target = index_.Find(given.target);
    if (target == nullptr) {
      continue;
    }
    Entry entry = given;
    // Nobody asks in the name of another host.
    entry.host = own ? self_ : hello->host;
    if (holds_(target->shard)) {
      (this->*aTake)(target->shard, entry);
    } else if (own) {
      Forward(target->shard, entry, aList, messages);
    } else {
      // Passing it on could send it in circles; the asker repeats it.
      ++counts_.unroutable;
    }
  }
  for (const auto& [link, message] : messages) {
    links_.Send(link, message);
  }
}

void GrantManager::OnWant(LinkId aLink, const GrantWantMessage& aMessage)
{
  Route(
    aLink, aMessage.grants, &GrantWantMessage::grants, &GrantManager::TakeWant);
  Give();
}

void GrantManager::OnReturn(LinkId aLink, const GrantReturnMessage& aMessage)
{
  Route(aLink,
        aMessage.grants,
        &GrantReturnMessage::grants,
        &GrantManager::TakeReturn);
  Give();
}

void GrantManager::TakeWant(ShardId aShard, const GrantWantEntry& aEntry)
{
  const auto ledger = ledgers_.find(aShard);
  if (ledger == ledgers_.end()) {
    return;
  }
  ++counts_.wants;
  ledger->second.OnWant({ { aEntry.host, aEntry.incarnation },
                          aEntry.target,
                          aEntry.epoch,
                          aEntry.slots,
                          TimePoint(aEntry.sent) });
}

void GrantManager::TakeReturn(ShardId aShard, const GrantReturnEntry& aEntry)
{
  const auto ledger = ledgers_.find(aShard);
  if (ledger == ledgers_.end()) {
    return;
  }
  ++counts_.returns;
  ledger->second.OnReturn(
    { { aEntry.host, aEntry.incarnation }, aEntry.target, aEntry.lastGrant });
}

void GrantManager::OnTimer()
{
  Give();
}

void GrantManager::Give()
{
  std::map<HostId, std::vector<GrantEntry>> grants;
  for (auto& [shard, ledger] : ledgers_) {
    if (!holds_(shard)) {
      continue;
    }
    for (const Grant& grant : ledger.Give()) {
      ++counts_.given;
      grants[grant.asker.host].push_back({ grant.id,
                                           grant.asker.host,
                                           grant.asker.incarnation,
                                           grant.target,
                                           grant.epoch,
                                           grant.slots,
                                           grant.wantSent.time_since_epoch(),
                                           grant.time });
    }
  }
  for (auto& [host, entries] : grants) {
    if (host == self_) {
      Deliver(entries);
    } else if (const auto link = links_.LinkTo(host)) {
      links_.Send(*link, GrantMessage{ std::move(entries) });
    }
  }
}

void GrantManager::OnGrant(const GrantMessage& aMessage)
{
  Deliver(aMessage.grants);
}

void GrantManager::Deliver(const std::vector<GrantEntry>& aGrants)
{
  for (const LinkId link : links_.Entries()) {
    const Incarnation run = links_.HelloOf(link)->incarnation;
    GrantMessage message;
    for (const GrantEntry& grant : aGrants) {
      if (grant.host == self_ && grant.incarnation == run) {
        message.grants.push_back(grant);
      }
    }
    if (!message.grants.empty()) {
      links_.Send(link, message);
    }
  }
}

void GrantManager::ForwardReport(const TargetReportMessage& aReport)
{
  std::map<LinkId, TargetReportMessage> messages;
  for (const TargetReportEntry& entry : aReport.targets) {
    const TargetIndex::Entry* target = index_.Find(entry.target);
    // Answers of warm targets tell the lease holder nothing that it needs.
    if (target == nullptr || holds_(target->shard) ||
        phases_.Get(entry.target).phase == TargetPhase::kWarm) {
      continue;
    }
    Forward(target->shard, entry, &TargetReportMessage::targets, messages);
  }
  for (const auto& [link, message] : messages) {
    links_.Send(link, message);
  }
}

std::vector<HostId> GrantManager::TakeUnreached()
{
  return std::exchange(unreached_, {});
}

} // namespace lacewing
