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
 * Finds other hosts through the store where seeds do not help, which costs two
 * calls. Hosts that watch the store are entered there, so that there are some
 * to find.
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

  /** Enters this host and lists the others; tries until the store answers. */
  void Find();

  /** Enters this host, unless it was. */
  void RegisterSelf();

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // FLEET_HOSTDIRECTORY_H
