#include "control/MemberExchange.h"

#include <algorithm>

namespace lacewing {

namespace {

// Entries of about 70 bytes, so that a message stays below 100 KB.
constexpr std::size_t kMaxEntries = 1000;
// A change needs a moment to travel; two heartbeats give it 1 s.
constexpr unsigned kDifferingHeartbeats = 2;
// All members of the largest fleet take about 40 KB, so not more often.
constexpr Duration kSendAllTime = std::chrono::seconds(5);

} // namespace

MemberExchange::MemberExchange(const Clock& aClock,
                               MemberTable& aMembers,
                               PeerLinks& aLinks)
  : clock_(aClock)
  , members_(aMembers)
  , links_(aLinks)
{
}

void MemberExchange::OnReady(LinkId aLink)
{
  const HelloMessage& hello = *links_.HelloOf(aLink);
  members_.OnHello({ hello.host,
                     hello.address,
                     hello.zone,
                     hello.incarnation,
                     MemberState::kLive });
  SendAll(aLink);
  SendNews();
}

void MemberExchange::OnHeartbeat(LinkId aLink,
                                 const HeartbeatMessage& aHeartbeat)
{
  members_.OnHeard(links_.HelloOf(aLink)->host, aHeartbeat.incarnation);
  SendNews();
  Difference& difference = differences_[aLink];
  if (aHeartbeat.digest == members_.Digest()) {
    difference.heartbeats = 0;
  } else if (++difference.heartbeats >= kDifferingHeartbeats &&
             difference.lastSent + kSendAllTime < clock_.Now()) {
    SendAll(aLink);
  }
}

void MemberExchange::OnMembers(LinkId, const MembersMessage& aMessage)
{
  for (const MemberEntry& entry : aMessage.members) {
    members_.OnNews(entry);
  }
  SendNews();
}

void MemberExchange::OnClosed(LinkId aLink)
{
  differences_.erase(aLink);
}

void MemberExchange::SendHeartbeats(ConfigVersion aVersion)
{
  HeartbeatMessage heartbeat;
  heartbeat.version = aVersion;
  heartbeat.incarnation = members_.Self().entry.incarnation;
  heartbeat.digest = members_.Digest();
  links_.Send(links_.Controls(), heartbeat);
}

void MemberExchange::SendNews()
{
  MembersMessage message{ members_.TakeNews() };
  if (!message.members.empty()) {
    links_.Send(links_.Controls(), message);
  }
}

void MemberExchange::SendAll(LinkId aLink)
{
  differences_[aLink] = { 0, clock_.Now() };
  const std::vector<MemberEntry> entries = members_.Entries();
  for (std::size_t i = 0; i < entries.size(); i += kMaxEntries) {
    MembersMessage message;
    message.members.assign(
      entries.begin() + static_cast<std::ptrdiff_t>(i),
      entries.begin() +
        static_cast<std::ptrdiff_t>(std::min(entries.size(), i + kMaxEntries)));
    links_.Send(aLink, message);
  }
}

} // namespace lacewing
