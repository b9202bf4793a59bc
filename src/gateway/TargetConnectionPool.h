#ifndef GATEWAY_TARGETCONNECTIONPOOL_H
#define GATEWAY_TARGETCONNECTIONPOOL_H

#include "catalog/TargetSpec.h"
#include "http/HttpConnection.h"
#include "lacewing/Clock.h"

#include <asio/io_context.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <vector>

namespace lacewing {

/** Connections to targets that are open and free. */
class TargetPool
{
public:
  TargetPool(asio::io_context& aContext, const Clock& aClock);

  /** The most recently used free connection, or a new one. */
  std::unique_ptr<HttpConnection> Take(const TargetSpec& aTarget);

  /** Keeps a connection for later when it may be used again. */
  void Put(const TargetSpec& aTarget,
           std::unique_ptr<HttpConnection> aConnection);

  bool HasFree(const TargetSpec& aTarget) const;

  /** Closes connections that the target may close soon. */
  void CloseExpired();

  std::size_t FreeCount() const;

private:
  struct Slot
  {
    Incarnation born;
    std::vector<std::unique_ptr<HttpConnection>> free;
  };

  void Drop(const TargetId& aTarget, const HttpConnection* aConnection);
  bool Expired(const HttpConnection& aConnection) const;

  asio::io_context& context_;
  const Clock& clock_;
  std::map<TargetId, Slot> slots_;
};

} // namespace lacewing

#endif // GATEWAY_TARGETCONNECTIONPOOL_H
