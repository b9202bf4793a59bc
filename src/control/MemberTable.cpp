#include "control/MemberTable.h"

#include "core/StableHash.h"

#include <algorithm>
#include <tuple>

namespace lacewing {

namespace {

// About five times the largest fleet of the design; bounds what a hostile
// peer can make this table hold.
constexpr std::size_t kMaxMembers = 4096;

bool Replaces(const MemberEntry& aNew, const MemberEntry& aOld)
{
  return std::tie(aOld.incarnation, aOld.state) <
         std::tie(aNew.incarnation, aNew.state);
}

bool IsUsable(const Member& aMember)
{
  return aMember.confirmed && (aMember.entry.state == MemberState::kLive ||
                               aMember.entry.state == MemberState::kSuspect);
}

} // namespace

MemberTable::MemberTable(const Clock& aClock,
                         const ControlTerms& aTerms,
                         const MemberEntry& aSelf)
  : clock_(aClock)
  , terms_(aTerms)
  , self_(aSelf.host)
{
  Insert(aSelf).confirmed = true;
}

const Member* MemberTable::Find(const HostId& aHost) const
{
  const auto found = members_.find(aHost);
  return found == members_.end() ? nullptr : &found->second;
}

Member& MemberTable::Insert(const MemberEntry& aEntry)
{
  Member& member = members_[aEntry.host];
  member.entry = aEntry;
  return member;
}

void MemberTable::SetState(Member& aMember, MemberState aState)
{
  if (aMember.entry.state == aState) {
    return;
  }
  aMember.entry.state = aState;
  if (aState == MemberState::kGone) {
    aMember.goneSince = clock_.Now();
  }
  news_.insert(aMember.entry.host);
}

void MemberTable::OnHostList(const std::vector<ListedHost>& aHosts)
{
  const TimePoint now = clock_.Now();
  std::set<HostId> listed;
  for (const ListedHost& host : aHosts) {
    if (host.id == self_ || members_.size() >= kMaxMembers) {
      continue;
    }
    listed.insert(host.id);
    const bool isNew = members_.count(host.id) == 0;
    if (isNew) {
      // Incarnation zero yields to whatever the host says itself.
      Insert({ host.id,
               host.address,
               host.zone,
               Incarnation(0),
               MemberState::kSuspect });
    }
    Member& member = members_[host.id];
    member.listed = true;
    if (host.leaving && member.entry.state < MemberState::kLeaving) {
      SetState(member, MemberState::kLeaving);
    }
  }
  for (auto& [id, member] : members_) {
    if (id == self_ || !member.listed || listed.count(id) > 0) {
      continue;
    }
    member.listed = false;
    if (!member.lastHeard || *member.lastHeard + terms_.suspectTime < now) {
      SetState(member, MemberState::kGone);
    }
  }
}

void MemberTable::OnHeard(const HostId& aHost, Incarnation aIncarnation)
{
  const auto found = members_.find(aHost);
  if (found == members_.end() || aHost == self_) {
    return;
  }
  Member& member = found->second;
  member.lastHeard = clock_.Now();
  if (aIncarnation < member.entry.incarnation) {
    return;
  }
  const bool newRun = member.entry.incarnation < aIncarnation;
  const bool wasConfirmed = std::exchange(member.confirmed, true);
  if (newRun || !wasConfirmed) {
    member.entry.incarnation = aIncarnation;
    member.entry.state = MemberState::kLive;
    news_.insert(aHost);
  } else if (member.entry.state == MemberState::kSuspect) {
    SetState(member, MemberState::kLive);
  }
}

void MemberTable::OnHello(const MemberEntry& aEntry)
{
  if (aEntry.host == self_) {
    return;
  }
  const auto found = members_.find(aEntry.host);
  if (found == members_.end()) {
    if (members_.size() >= kMaxMembers) {
      return;
    }
    Insert(aEntry);
  } else if (found->second.entry.incarnation <= aEntry.incarnation) {
    // The host knows its zone and address better than the lagging list.
    found->second.entry.address = aEntry.address;
    found->second.entry.zone = aEntry.zone;
  }
  OnHeard(aEntry.host, aEntry.incarnation);
}

void MemberTable::Refute(const MemberEntry& aEntry)
{
  MemberEntry& self = members_.at(self_).entry;
  if (aEntry.incarnation < self.incarnation || aEntry.state <= self.state) {
    return;
  }
  self.incarnation = aEntry.incarnation + Incarnation(1);
  news_.insert(self_);
}

void MemberTable::OnNews(const MemberEntry& aEntry)
{
  if (aEntry.host == self_) {
    Refute(aEntry);
    return;
  }
  const auto found = members_.find(aEntry.host);
  if (found == members_.end()) {
    if (aEntry.state != MemberState::kGone && members_.size() < kMaxMembers) {
      Insert(aEntry).confirmed = true;
      news_.insert(aEntry.host);
    }
    return;
  }
  Member& member = found->second;
  if (!Replaces(aEntry, member.entry)) {
    return;
  }
  // Somebody else's silence says nothing about a host that is heard here.
  const bool heard =
    member.lastHeard &&
    clock_.Now() < *member.lastHeard + 2 * terms_.heartbeatPeriod;
  const bool sameRun = aEntry.incarnation == member.entry.incarnation;
  if (heard && sameRun && aEntry.state != MemberState::kLeaving) {
    return;
  }
  member.entry = aEntry;
  member.confirmed = true;
  if (aEntry.state == MemberState::kGone) {
    member.goneSince = clock_.Now();
  }
  news_.insert(aEntry.host);
}

void MemberTable::SetExpected(const std::set<HostId>& aHosts)
{
  for (auto& [id, member] : members_) {
    if (aHosts.count(id) == 0) {
      member.expectedSince.reset();
    } else if (!member.expectedSince) {
      member.expectedSince = clock_.Now();
    }
  }
}

void MemberTable::OnTimer()
{
  const TimePoint now = clock_.Now();
  for (auto it = members_.begin(); it != members_.end();) {
    Member& member = it->second;
    const bool gone = member.entry.state == MemberState::kGone;
    if (gone && !member.listed && member.goneSince + terms_.forgetTime < now) {
      it = members_.erase(it);
      continue;
    }
    if (!gone && it->first != self_ && member.expectedSince) {
      const TimePoint heard =
        std::max(member.lastHeard.value_or(*member.expectedSince),
                 *member.expectedSince);
      if (heard + terms_.goneTime < now) {
        SetState(member, MemberState::kGone);
      } else if (heard + terms_.suspectTime < now &&
                 member.entry.state == MemberState::kLive) {
        SetState(member, MemberState::kSuspect);
      }
    }
    ++it;
  }
}

void MemberTable::OnStopping()
{
  SetState(members_.at(self_), MemberState::kLeaving);
}

std::vector<MemberEntry> MemberTable::TakeNews()
{
  std::vector<MemberEntry> entries;
  for (const HostId& host : news_) {
    const auto found = members_.find(host);
    if (found != members_.end()) {
      entries.push_back(found->second.entry);
    }
  }
  news_.clear();
  return entries;
}

std::vector<MemberEntry> MemberTable::Entries() const
{
  std::vector<MemberEntry> entries;
  for (const auto& [id, member] : members_) {
    if (member.confirmed) {
      entries.push_back(member.entry);
    }
  }
  return entries;
}

MembersDigest MemberTable::Digest() const
{
  std::uint64_t digest = 0;
  for (const auto& [id, member] : members_) {
    // Hosts forget gone members at different times.
    if (member.confirmed && member.entry.state != MemberState::kGone) {
      digest += StableHash64(id.value() + "/" + ToString(member.entry.state),
                             member.entry.incarnation.value());
    }
  }
  return MembersDigest(digest);
}

std::vector<HostId> MemberTable::Usable() const
{
  std::vector<HostId> hosts;
  for (const auto& [id, member] : members_) {
    if (IsUsable(member)) {
      hosts.push_back(id);
    }
  }
  return hosts;
}

std::vector<HostId> MemberTable::UsableInZone(const ZoneId& aZone) const
{
  std::vector<HostId> hosts;
  for (const auto& [id, member] : members_) {
    if (IsUsable(member) && member.entry.zone == aZone) {
      hosts.push_back(id);
    }
  }
  return hosts;
}

std::optional<TimePoint> MemberTable::LastHeardPeer() const
{
  std::optional<TimePoint> last;
  for (const auto& [id, member] : members_) {
    if (member.lastHeard && (!last || *last < *member.lastHeard)) {
      last = member.lastHeard;
    }
  }
  return last;
}

} // namespace lacewing
