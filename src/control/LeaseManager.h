#ifndef CONTROL_LEASEMANAGER_H
#define CONTROL_LEASEMANAGER_H

#include "control/LeaseDirectory.h"
#include "decision/LeaseKeeper.h"
#include "lacewing/ShardId.h"
#include "store/ObjectStore.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace lacewing {

/** Runs a LeaseKeeper for each shard against the store. */
class LeaseManager
{
public:
  /**
   * aChanged runs after an entry of the directory changed, and after a lease
   * was taken over.
   */
  LeaseManager(const Clock& aClock,
               ObjectStore& aStore,
               const HostId& aSelf,
               Incarnation aIncarnation,
               LeaseDirectory& aDirectory,
               std::function<void(const LeaseStateEntry&)> aChanged);
  ~LeaseManager();

  /** Ranks the candidates of every shard anew. */
  void OnUsableHosts(const std::vector<HostId>& aHosts);
  void OnTimer();
  /** Gives all leases up; Released tells when this is done. */
  void OnStopping();
  bool Released() const;

  bool Holds(ShardId aShard) const;
  std::vector<ShardId> Held() const;
  /** Lease objects that were no lease record. */
  std::uint64_t InvalidObjects() const { return invalid_; }

private:
  using Event = std::function<LeaseAction(LeaseKeeper&)>;

  void Run(ShardId aShard, LeaseAction aAction);
  void Apply(ShardId aShard, const Event& aEvent);
  void Read(ShardId aShard);
  void Write(ShardId aShard, const LeaseWrite& aWrite);
  void OnRead(ShardId aShard, const Outcome<ObjectValue>& aValue);
  void OnWritten(ShardId aShard, const Outcome<ObjectTag>& aTag);
  LeaseRecord Decode(ShardId aShard, const ObjectValue& aValue);
  void Note(ShardId aShard, const LeaseRecord& aRecord);

  const Clock& clock_;
  ObjectStore& store_;
  HostId self_;
  LeaseDirectory& directory_;
  std::function<void(const LeaseStateEntry&)> changed_;
  std::map<ShardId, LeaseKeeper> keepers_;
  /** The last lease that was announced as held, by shard. */
  std::map<ShardId, Epoch> announced_;
  std::uint64_t invalid_ = 0;
  /** Answers of the store that come after the end find this expired. */
  std::shared_ptr<int> alive_;
};

} // namespace lacewing

#endif // CONTROL_LEASEMANAGER_H
