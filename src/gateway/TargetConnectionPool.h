#ifndef GATEWAY_TARGETCONNECTIONPOOL_H
#define GATEWAY_TARGETCONNECTIONPOOL_H

#include "catalog/TargetSpec.h"
#include "core/BufferBudget.h"
#include "gateway/GatewayCounters.h"
#include "http/HttpConnection.h"
#include "lacewing/Clock.h"
#include "lacewing/ConnectionCount.h"

#include <asio/io_context.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace lacewing {

/**
 * Opens connections to targets, counts them, and keeps those that no request
 * uses.
 */
class TargetConnectionPool
{
public:
  /**
   * The bodies of responses count against aBuffers, those of one service
   * against a part of it. Opened connections are counted in aCounters.
   */
  TargetConnectionPool(asio::io_context& aContext,
                       const Clock& aClock,
                       std::shared_ptr<BufferBudget> aBuffers,
                       GatewayCounters& aCounters);

  /**
   * The most recently used free connection, or a new one. Null if there is none
   * free and aCap are open already; empty: no limit.
   */
  std::unique_ptr<HttpConnection> Take(
    const TargetSpec& aTarget,
    std::optional<ConnectionCount> aCap = std::nullopt);

  /**
   * A connection for a request that no probe precedes on it: a free one that
   * was used lately and whose answers could all be told apart, or a new one,
   * in whose place a free one is closed if aCap are open. Null if none is free.
   */
  std::unique_ptr<HttpConnection> TakeForRequest(
    const TargetSpec& aTarget,
    std::optional<ConnectionCount> aCap = std::nullopt);

  /** A new connection. */
  std::unique_ptr<HttpConnection> Open(const TargetSpec& aTarget);

  /** Returns a connection to the pool; closes it if it cannot be reused. */
  void Put(const TargetSpec& aTarget,
           std::unique_ptr<HttpConnection> aConnection);

  bool HasFree(const TargetSpec& aTarget) const;

  /** Connections to the target's current start, in use or free. */
  ConnectionCount OpenCount(const TargetSpec& aTarget) const;

  /** Closes connections that the target may soon close as idle. */
  void CloseExpired();

  std::size_t FreeCount() const;

private:
  struct TargetConnections
  {
    Incarnation incarnation;
    /** Those in use and those in free. */
    std::shared_ptr<ConnectionCount> open = std::make_shared<ConnectionCount>();
    std::vector<std::unique_ptr<HttpConnection>> free;
  };

  /** Those of the target's current start; drops those of an earlier one. */
  TargetConnections& ConnectionsOf(const TargetSpec& aTarget);
  const std::shared_ptr<BufferBudget>& BuffersOf(const ServiceId& aService);
  void Drop(const TargetId& aTarget, const HttpConnection* aConnection);
  /** Whether it is open, as far as known, with nothing left to read. */
  bool Usable(const HttpConnection& aConnection) const;
  bool Expired(const HttpConnection& aConnection) const;

  asio::io_context& context_;
  const Clock& clock_;
  const std::shared_ptr<BufferBudget> buffers_;
  GatewayCounters& counters_;
  std::map<TargetId, TargetConnections> targets_;
  std::map<ServiceId, std::shared_ptr<BufferBudget>> serviceBuffers_;
};

} // namespace lacewing

#endif // GATEWAY_TARGETCONNECTIONPOOL_H
