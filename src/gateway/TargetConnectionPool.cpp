#include "gateway/TargetConnectionPool.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

// Used when a target does not state how long it keeps idle connections open.
// With 10 s, hosts had connections to nearly all targets, preferred these, and
// 65 % of the targets that were added on a calm day got no request.
constexpr Duration kDefaultKeepAlive = std::chrono::seconds(5);
// A request without a probe right before it is not sent on a connection that
// was idle for longer, which the target may be about to close.
constexpr Duration kMaxIdleForRequest = std::chrono::seconds(4);
// Subtracted from the time that a target states, to cover network delay.
constexpr Duration kKeepAliveMargin = std::chrono::seconds(1);
// Limit of free connections to one target; a burst leaves fewer.
constexpr std::size_t kMaxFree = 8;
// A complete response is kept in memory until it is forwarded.
constexpr ByteCount kMaxResponse{ 16U << 20U };
// The part of the memory for bodies that the responses of one service may take.
// Servers that send long responses and then pause would otherwise hold all of
// it until the routes' timeouts, and requests to other services be refused.
constexpr unsigned kServiceDivisor = 2;

} // namespace

TargetConnectionPool::TargetConnectionPool(
  asio::io_context& aContext,
  const Clock& aClock,
  std::shared_ptr<BufferBudget> aBuffers,
  GatewayCounters& aCounters)
  : context_(aContext)
  , clock_(aClock)
  , buffers_(std::move(aBuffers))
  , counters_(aCounters)
{
}

bool TargetConnectionPool::Expired(const HttpConnection& aConnection) const
{
  const Duration stated =
    aConnection.PeerKeepAlive().value_or(kDefaultKeepAlive);
  const Duration kept = std::max(stated - kKeepAliveMargin, Duration(0));
  return aConnection.IdleSince() + kept <= clock_.Now();
}

bool TargetConnectionPool::Usable(const HttpConnection& aConnection) const
{
  return aConnection.Reusable() && !Expired(aConnection) && aConnection.Quiet();
}

TargetConnectionPool::TargetConnections& TargetConnectionPool::ConnectionsOf(
  const TargetSpec& aTarget)
{
  const auto [held, added] = targets_.try_emplace(aTarget.id);
  TargetConnections& connections = held->second;
  if (added || connections.incarnation != aTarget.incarnation) {
    connections = TargetConnections();
    connections.incarnation = aTarget.incarnation;
  }
  return connections;
}

std::unique_ptr<HttpConnection> TargetConnectionPool::Take(
  const TargetSpec& aTarget,
  std::optional<ConnectionCount> aCap)
{
  TargetConnections& connections = ConnectionsOf(aTarget);
  auto& free = connections.free;
  while (!free.empty()) {
    std::unique_ptr<HttpConnection> connection = std::move(free.back());
    free.pop_back();
    if (Usable(*connection)) {
      connection->SetIdleEndHandler(nullptr);
      return connection;
    }
  }
  return aCap && *connections.open >= *aCap ? nullptr : Open(aTarget);
}

std::unique_ptr<HttpConnection> TargetConnectionPool::TakeForRequest(
  const TargetSpec& aTarget,
  std::optional<ConnectionCount> aCap)
{
  TargetConnections& connections = ConnectionsOf(aTarget);
  auto& free = connections.free;
  const TimePoint now = clock_.Now();
  const auto found =
    std::find_if(free.rbegin(), free.rend(), [this, now](const auto& aHeld) {
      return aHeld->Unambiguous() && Usable(*aHeld) &&
             aHeld->IdleSince() + kMaxIdleForRequest > now;
    });
  if (found == free.rend()) {
    while (aCap && *connections.open >= *aCap) {
      if (free.empty()) {
        return nullptr;
      }
      free.erase(free.begin());
    }
    return Open(aTarget);
  }
  std::unique_ptr<HttpConnection> connection = std::move(*found);
  free.erase(std::next(found).base());
  connection->SetIdleEndHandler(nullptr);
  return connection;
}

const std::shared_ptr<BufferBudget>& TargetConnectionPool::BuffersOf(
  const ServiceId& aService)
{
  std::shared_ptr<BufferBudget>& buffers = serviceBuffers_[aService];
  if (!buffers) {
    // A service may always hold one response of the largest size.
    const ByteCount limit = std::max(
      ByteCount(buffers_->Limit().value() / kServiceDivisor), kMaxResponse);
    buffers = std::make_shared<BufferBudget>(limit, buffers_);
  }
  return buffers;
}

std::unique_ptr<HttpConnection> TargetConnectionPool::Open(
  const TargetSpec& aTarget)
{
  ConnectionOptions options;
  options.endpoint = aTarget.endpoint;
  options.limits.maxBody = kMaxResponse;
  options.limits.budget = BuffersOf(aTarget.service);
  options.count = ConnectionsOf(aTarget).open;
  ++counters_.targetConnections;
  return std::make_unique<HttpConnection>(context_, options, clock_);
}

void TargetConnectionPool::Put(const TargetSpec& aTarget,
                               std::unique_ptr<HttpConnection> aConnection)
{
  // The entry may be gone, because the target had no free connection.
  const auto [held, added] = targets_.try_emplace(aTarget.id);
  TargetConnections& connections = held->second;
  if (added) {
    connections.incarnation = aTarget.incarnation;
  }
  if (!aConnection->Reusable() ||
      connections.incarnation != aTarget.incarnation ||
      connections.free.size() >= kMaxFree) {
    return;
  }
  aConnection->SetIdleEndHandler(
    [this, id = aTarget.id, connection = aConnection.get()] {
      Drop(id, connection);
    });
  connections.free.push_back(std::move(aConnection));
}

void TargetConnectionPool::Drop(const TargetId& aTarget,
                                const HttpConnection* aConnection)
{
  auto& free = targets_[aTarget].free;
  free.erase(std::remove_if(free.begin(),
                            free.end(),
                            [aConnection](const auto& aHeld) {
                              return aHeld.get() == aConnection;
                            }),
             free.end());
}

bool TargetConnectionPool::HasFree(const TargetSpec& aTarget) const
{
  const auto connections = targets_.find(aTarget.id);
  return connections != targets_.end() && !connections->second.free.empty();
}

ConnectionCount TargetConnectionPool::OpenCount(const TargetSpec& aTarget) const
{
  const auto connections = targets_.find(aTarget.id);
  return connections == targets_.end() ||
             connections->second.incarnation != aTarget.incarnation
           ? ConnectionCount()
           : *connections->second.open;
}

void TargetConnectionPool::CloseExpired()
{
  for (auto connections = targets_.begin(); connections != targets_.end();) {
    auto& free = connections->second.free;
    free.erase(
      std::remove_if(free.begin(),
                     free.end(),
                     [this](const auto& aHeld) { return Expired(*aHeld); }),
      free.end());
    // The count of those in use must not be lost.
    const bool unused =
      free.empty() && *connections->second.open == ConnectionCount();
    connections = unused ? targets_.erase(connections) : std::next(connections);
  }
  for (auto each = serviceBuffers_.begin(); each != serviceBuffers_.end();) {
    // Connections and the bodies that they have read share the budget.
    each = each->second.use_count() == 1 ? serviceBuffers_.erase(each)
                                         : std::next(each);
  }
}

std::size_t TargetConnectionPool::FreeCount() const
{
  std::size_t count = 0;
  for (const auto& [id, connections] : targets_) {
    count += connections.free.size();
  }
  return count;
}

} // namespace lacewing
