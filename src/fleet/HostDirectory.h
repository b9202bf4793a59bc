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
 * Finds other hosts through the store if no seed responds. This costs two calls
 * to the store. Hosts that watch the store register themselves there, so that a
 * search finds some.
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

  /**
   * Registers this host and lists the others. Retries until the store responds.
   */
  void Find();

  /** Registers this host, unless a registration was started before. */
  void RegisterSelf();

  /**
   * Registers this host once more if a registration was started before, since
   * the store may have lost its object.
   */
  void RegisterAgain();

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // FLEET_HOSTDIRECTORY_H
