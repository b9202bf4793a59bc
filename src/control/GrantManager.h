#ifndef CONTROL_GRANTMANAGER_H
#define CONTROL_GRANTMANAGER_H

#include "control/GrantCounts.h"
#include "control/LeaseDirectory.h"
#include "control/PeerLinks.h"
#include "control/TargetIndex.h"
#include "decision/GrantLedger.h"
#include "wire/GrantMessage.h"
#include "wire/GrantReturnMessage.h"
#include "wire/GrantWantMessage.h"
#include "wire/TargetReportMessage.h"

#include <functional>
#include <map>
#include <vector>

namespace lacewing {

/**
 * Gives grants for the shards whose lease is held here, and passes the wants,
 * returns and reports of the own entryd on to the other lease holders.
 */
class GrantManager
{
public:
  using LeaseCheck = std::function<bool(ShardId)>;

  GrantManager(const Clock& aClock,
               const HostId& aSelf,
               const TargetIndex& aIndex,
               const PhaseTable& aPhases,
               const LeaseDirectory& aDirectory,
               PeerLinks& aLinks,
               LeaseCheck aHolds);

  /** The index changed. */
  void OnConfig();
  /** The lease on a shard was taken over here. */
  void OnLeaseHeld(ShardId aShard, Epoch aEpoch);
  void OnWant(LinkId aLink, const GrantWantMessage& aMessage);
  void OnReturn(LinkId aLink, const GrantReturnMessage& aMessage);
  /** Grants of another lease holder for the own entryd. */
  void OnGrant(const GrantMessage& aMessage);
  /** Passes what the own entryd saw of targets on to their lease holders. */
  void ForwardReport(const TargetReportMessage& aReport);
  /** Call each 20 ms. */
  void OnTimer();

  /** Lease holders that are needed but not connected, then none. */
  std::vector<HostId> TakeUnreached();

  const GrantCounts& Counts() const { return counts_; }

private:
  template<class Message, class Entry>
  void Route(LinkId aLink,
             const std::vector<Entry>& aEntries,
             std::vector<Entry> Message::*aList,
             void (GrantManager::*aTake)(ShardId, const Entry&));
  template<class Message, class Entry>
  void Forward(ShardId aShard,
               const Entry& aEntry,
               std::vector<Entry> Message::*aList,
               std::map<LinkId, Message>& aMessages);
  void TakeWant(ShardId aShard, const GrantWantEntry& aEntry);
  void TakeReturn(ShardId aShard, const GrantReturnEntry& aEntry);
  void Give();
  void Deliver(const std::vector<GrantEntry>& aGrants);

  const Clock& clock_;
  HostId self_;
  const TargetIndex& index_;
  const PhaseTable& phases_;
  const LeaseDirectory& directory_;
  PeerLinks& links_;
  LeaseCheck holds_;
  std::map<ShardId, GrantLedger> ledgers_;
  std::vector<HostId> unreached_;
  GrantCounts counts_;
};

} // namespace lacewing

#endif // CONTROL_GRANTMANAGER_H
