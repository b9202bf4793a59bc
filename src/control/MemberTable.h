#ifndef CONTROL_MEMBERTABLE_H
#define CONTROL_MEMBERTABLE_H

#include "control/ControlTerms.h"
#include "control/Member.h"
#include "store/ListedHost.h"
#include "wire/MembersDigest.h"

#include <map>
#include <set>
#include <vector>

namespace lacewing {

/**
 * The hosts of the deployment, from the platform's list, from what peers tell
 * and from what was heard. Every change that has to be told to peers is
 * returned by TakeNews.
 */
class MemberTable
{
public:
  MemberTable(const Clock& aClock,
              const ControlTerms& aTerms,
              const MemberEntry& aSelf);

  const Member& Self() const { return members_.at(self_); }
  const Member* Find(const HostId& aHost) const;
  const std::map<HostId, Member>& All() const { return members_; }

  void OnHostList(const std::vector<ListedHost>& aHosts);
  /** A host sent something itself over its connection. */
  void OnHeard(const HostId& aHost, Incarnation aIncarnation);
  /** A host said who it is. */
  void OnHello(const MemberEntry& aEntry);
  /** A peer told of a host. */
  void OnNews(const MemberEntry& aEntry);
  /** The hosts to which connections are meant to exist from now on. */
  void SetExpected(const std::set<HostId>& aHosts);
  /** Suspects hosts and gives them up when they have been silent. */
  void OnTimer();
  /** The own host stops. */
  void OnStopping();

  /** Changes since the last call. */
  std::vector<MemberEntry> TakeNews();
  /** Every member that peers can use. */
  std::vector<MemberEntry> Entries() const;
  MembersDigest Digest() const;

  /** Confirmed hosts that are live or suspect, with the own, sorted. */
  std::vector<HostId> Usable() const;
  /** The usable hosts of one availability zone. */
  std::vector<HostId> UsableInZone(const ZoneId& aZone) const;
  /** When a peer was last heard; empty for never. */
  std::optional<TimePoint> LastHeardPeer() const;

private:
  Member& Insert(const MemberEntry& aEntry);
  void SetState(Member& aMember, MemberState aState);
  void Refute(const MemberEntry& aEntry);

  const Clock& clock_;
  ControlTerms terms_;
  HostId self_;
  std::map<HostId, Member> members_;
  std::set<HostId> news_;
};

} // namespace lacewing

#endif // CONTROL_MEMBERTABLE_H
