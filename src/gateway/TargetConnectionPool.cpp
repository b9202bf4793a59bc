#include "gateway/TargetConnectionPool.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

// Used when a target does not say how long it keeps idle connections.
constexpr Duration kDefaultKeepAlive = std::chrono::seconds(5);
// Taken off a target's word, for the time that messages take.
constexpr Duration kKeepAliveMargin = std::chrono::seconds(1);
// More free connections to one target than a burst leaves behind.
constexpr std::size_t kMaxFree = 8;
// An answer is kept whole in memory until it is passed on.
constexpr ByteCount kMaxAnswer{ 16U << 20U };

} // namespace

TargetPool::TargetPool(asio::io_context& aContext, const Clock& aClock)
  : context_(aContext)
  , clock_(aClock)
{
}

bool TargetPool::Expired(const HttpConnection& aConnection) const
{
  const Duration stated =
    aConnection.PeerKeepAlive().value_or(kDefaultKeepAlive);
  const Duration kept = std::max(stated - kKeepAliveMargin, Duration(0));
  return aConnection.IdleSince() + kept <= clock_.Now();
}

std::unique_ptr<HttpConnection> TargetPool::Take(const TargetSpec& aTarget)
{
  Slot& slot = slots_[aTarget.id];
  if (slot.born != aTarget.born) {
    slot.free.clear();
    slot.born = aTarget.born;
  }
  while (!slot.free.empty()) {
    std::unique_ptr<HttpConnection> connection = std::move(slot.free.back());
    slot.free.pop_back();
    if (connection->Reusable() && !Expired(*connection)) {
      connection->SetIdleEndHandler(nullptr);
      return connection;
    }
  }
  ConnectionOptions options;
  options.endpoint = aTarget.endpoint;
  options.limits.maxBody = kMaxAnswer;
  return std::make_unique<HttpConnection>(context_, options, clock_);
}

void TargetPool::Put(const TargetSpec& aTarget,
                     std::unique_ptr<HttpConnection> aConnection)
{
  Slot& slot = slots_[aTarget.id];
  if (!aConnection->Reusable() || slot.born != aTarget.born ||
      slot.free.size() >= kMaxFree) {
    return;
  }
  aConnection->SetIdleEndHandler(
    [this, id = aTarget.id, connection = aConnection.get()] {
      Drop(id, connection);
    });
  slot.free.push_back(std::move(aConnection));
}

void TargetPool::Drop(const TargetId& aTarget,
                      const HttpConnection* aConnection)
{
  auto& free = slots_[aTarget].free;
  free.erase(std::remove_if(free.begin(),
                            free.end(),
                            [aConnection](const auto& aHeld) {
                              return aHeld.get() == aConnection;
                            }),
             free.end());
}

bool TargetPool::HasFree(const TargetSpec& aTarget) const
{
  const auto slot = slots_.find(aTarget.id);
  return slot != slots_.end() && !slot->second.free.empty();
}

void TargetPool::CloseExpired()
{
  for (auto slot = slots_.begin(); slot != slots_.end();) {
    auto& free = slot->second.free;
    free.erase(
      std::remove_if(free.begin(),
                     free.end(),
                     [this](const auto& aHeld) { return Expired(*aHeld); }),
      free.end());
    slot = free.empty() ? slots_.erase(slot) : std::next(slot);
  }
}

std::size_t TargetPool::FreeCount() const
{
  std::size_t count = 0;
  for (const auto& [id, slot] : slots_) {
    count += slot.free.size();
  }
  return count;
}

} // namespace lacewing
