#ifndef FLEET_HOSTDIRECTORY_H
#define FLEET_HOSTDIRECTORY_H

#include "fleet/CatalogSource.h"
#include "fleet/HostIdentity.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace lacewing {

/**
 * Enters a host in the store and lists the others, once at its start. A host
 * that starts again is still listed and makes one call only.
 */
class HostDirectory
{
public:
  using Handler = std::function<void(const std::vector<PeerAddress>&)>;

  HostDirectory(asio::io_context& aContext,
                const HostIdentity& aIdentity,
                CatalogSource& aSource,
                Handler aHandler);
  ~HostDirectory();
  HostDirectory(const HostDirectory&) = delete;
  HostDirectory& operator=(const HostDirectory&) = delete;

  /** Tries until the store answers. */
  void Start();

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // FLEET_HOSTDIRECTORY_H
