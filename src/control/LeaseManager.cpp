#include "control/LeaseManager.h"

#include "control/LeaseRecordCodec.h"
#include "core/Log.h"
#include "decision/LeaseRanking.h"

#include <algorithm>
#include <utility>

namespace lacewing {

LeaseManager::LeaseManager(const Clock& aClock,
                           ObjectStore& aStore,
                           const HostId& aSelf,
                           Incarnation aIncarnation,
                           LeaseDirectory& aDirectory,
                           std::function<void(const LeaseStateEntry&)> aChanged)
  : clock_(aClock)
  , store_(aStore)
  , self_(aSelf)
  , directory_(aDirectory)
  , changed_(std::move(aChanged))
  , alive_(std::make_shared<int>())
{
  for (std::uint32_t shard = 0; shard < kLeaseShards; ++shard) {
    keepers_.emplace(ShardId(shard),
                     LeaseKeeper(aClock, LeaseTerms(), aSelf, aIncarnation));
  }
}

LeaseManager::~LeaseManager() = default;

void LeaseManager::OnUsableHosts(const std::vector<HostId>& aHosts)
{
  for (auto& [shard, keeper] : keepers_) {
    Run(shard, keeper.OnRank(LeaseRank(shard.value(), self_, aHosts)));
  }
}

void LeaseManager::OnTimer()
{
  const TimePoint now = clock_.Now();
  for (auto& [shard, keeper] : keepers_) {
    const auto due = keeper.NextTimer();
    if (due && *due <= now) {
      Run(shard, keeper.OnTimer());
    }
  }
}

void LeaseManager::OnStopping()
{
  for (auto& [shard, keeper] : keepers_) {
    Run(shard, keeper.OnStopping());
  }
}

bool LeaseManager::Released() const
{
  return std::all_of(keepers_.begin(), keepers_.end(), [](const auto& aEntry) {
    return aEntry.second.Released();
  });
}

bool LeaseManager::Holds(ShardId aShard) const
{
  const auto keeper = keepers_.find(aShard);
  return keeper != keepers_.end() && keeper->second.Holds();
}

std::vector<ShardId> LeaseManager::Held() const
{
  std::vector<ShardId> held;
  for (const auto& [shard, keeper] : keepers_) {
    if (keeper.Holds()) {
      held.push_back(shard);
    }
  }
  return held;
}

void LeaseManager::Run(ShardId aShard, LeaseAction aAction)
{
  if (!aAction) {
    return;
  }
  if (const auto* write = std::get_if<LeaseWrite>(&*aAction)) {
    Write(aShard, *write);
  } else {
    Read(aShard);
  }
}

void LeaseManager::Apply(ShardId aShard, const Event& aEvent)
{
  LeaseKeeper& keeper = keepers_.at(aShard);
  const LeaseAction next = aEvent(keeper);
  if (keeper.Holds() && announced_[aShard] < keeper.HeldEpoch()) {
    announced_[aShard] = keeper.HeldEpoch();
    LeaseStateEntry entry{ aShard, self_, keeper.HeldEpoch() };
    directory_.Merge(entry);
    Log(LogLevel::kInfo,
        "lease_held",
        { { "shard", std::to_string(aShard.value()) },
          { "epoch", std::to_string(keeper.HeldEpoch().value()) } });
    changed_(entry);
  }
  Run(aShard, next);
}

void LeaseManager::Read(ShardId aShard)
{
  store_.Get(LeaseKey(aShard),
             [this, alive = std::weak_ptr<int>(alive_), aShard](
               const Outcome<ObjectValue>& aValue) {
               if (!alive.expired()) {
                 OnRead(aShard, aValue);
               }
             });
}

void LeaseManager::OnRead(ShardId aShard, const Outcome<ObjectValue>& aValue)
{
  if (aValue) {
    const LeaseRecord record = Decode(aShard, aValue.value());
    Note(aShard, record);
    Apply(aShard, [&](LeaseKeeper& aKeeper) {
      return aKeeper.OnRead(record, aValue.value().tag);
    });
    return;
  }
  Apply(aShard, [&](LeaseKeeper& aKeeper) {
    return aValue.error().kind == ErrorKind::kNotFound
             ? aKeeper.OnRead(std::nullopt, ObjectTag())
             : aKeeper.OnReadFailed();
  });
}

LeaseRecord LeaseManager::Decode(ShardId aShard, const ObjectValue& aValue)
{
  auto record = DecodeLease(aValue.body);
  if (record) {
    return std::move(record).value();
  }
  ++invalid_;
  Log(LogLevel::kError,
      "invalid_object",
      { { "key", LeaseKey(aShard).value() },
        { "error", record.error().ToString() } });
  // Counts as a lease of an unknown host until its time has passed.
  return LeaseRecord();
}

void LeaseManager::Note(ShardId aShard, const LeaseRecord& aRecord)
{
  const LeaseStateEntry entry{ aShard,
                               aRecord.released ? HostId() : aRecord.holder,
                               aRecord.epoch };
  if (directory_.Merge(entry)) {
    changed_(entry);
  }
}

void LeaseManager::Write(ShardId aShard, const LeaseWrite& aWrite)
{
  store_.Put(LeaseKey(aShard),
             EncodeLease(aWrite.record),
             { aWrite.currentTag },
             [this, alive = std::weak_ptr<int>(alive_), aShard](
               const Outcome<ObjectTag>& aTag) {
               if (!alive.expired()) {
                 OnWritten(aShard, aTag);
               }
             });
}

void LeaseManager::OnWritten(ShardId aShard, const Outcome<ObjectTag>& aTag)
{
  Apply(aShard, [&](LeaseKeeper& aKeeper) {
    if (aTag) {
      return aKeeper.OnWritten(aTag.value());
    }
    switch (aTag.error().kind) {
      case ErrorKind::kConflict:
        return aKeeper.OnConflict();
      case ErrorKind::kUnavailable:
      case ErrorKind::kRateLimited:
        return aKeeper.OnWriteFailed();
      default:
        return aKeeper.OnWriteUnknown();
    }
  });
}

} // namespace lacewing
