#ifndef HOST_HOSTDAEMON_H
#define HOST_HOSTDAEMON_H

#include "catalog/CatalogDecoder.h"
#include "fleet/CatalogSource.h"
#include "host/HostOptions.h"
#include "lacewing/Outcome.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>

namespace lacewing {

/**
 * The process that runs on each entry host. It owns the fleet control on the
 * control thread, the gateway with its traffic thread, and the HTTP servers for
 * readiness, pulls by other hosts and metrics.
 */
class HostDaemon
{
public:
  /** Starts listening at once; fails if an address cannot be bound. */
  static Outcome<std::unique_ptr<HostDaemon>> Make(
    asio::io_context& aContext,
    const Clock& aClock,
    const HostOptions& aOptions,
    const CatalogDecoder& aDecoder,
    CatalogSource& aSource);

  ~HostDaemon();
  HostDaemon(const HostDaemon&) = delete;
  HostDaemon& operator=(const HostDaemon&) = delete;

  /**
   * Stops gracefully: reports not ready, hands its tasks over to other hosts
   * and closes each caller's connection after its response. The io_context is
   * stopped when all requests have ended. Those that are still open shortly
   * before the end of the grace period get a local response.
   */
  void Stop();

  /**
   * Applies the settings that can change while the process runs: the terms of
   * cold starts and of retries, and the grace period, of which a stop in
   * progress takes over only a shorter one. All others need a restart; a change
   * of an address, the host's name or its zone is logged.
   */
  void Reload(const HostOptions& aOptions);

private:
  struct Impl;
  explicit HostDaemon(std::unique_ptr<Impl> aImpl);

  std::unique_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // HOST_HOSTDAEMON_H
