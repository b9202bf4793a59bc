#ifndef CONTROL_MEMBEREXCHANGE_H
#define CONTROL_MEMBEREXCHANGE_H

#include "control/MemberTable.h"
#include "control/PeerLinks.h"
#include "wire/HeartbeatMessage.h"
#include "wire/MembersMessage.h"

#include <map>

namespace lacewing {

/** Sends heartbeats and passes on what peers tell of hosts. */
class MemberExchange
{
public:
  MemberExchange(const Clock& aClock, MemberTable& aMembers, PeerLinks& aLinks);

  /** A controld said hello. */
  void OnReady(LinkId aLink);
  void OnHeartbeat(LinkId aLink, const HeartbeatMessage& aHeartbeat);
  void OnMembers(LinkId aLink, const MembersMessage& aMessage);
  void OnClosed(LinkId aLink);

  void SendHeartbeats(ConfigVersion aVersion);
  /** Sends changes to all peers. */
  void SendNews();

private:
  /** Whether the digests of a link differ, and when all was sent. */
  struct Difference
  {
    unsigned heartbeats = 0;
    TimePoint lastSent;
  };

  void SendAll(LinkId aLink);

  const Clock& clock_;
  MemberTable& members_;
  PeerLinks& links_;
  std::map<LinkId, Difference> differences_;
};

} // namespace lacewing

#endif // CONTROL_MEMBEREXCHANGE_H
