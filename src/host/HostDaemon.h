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

/** The one process of an entry host: control thread, traffic thread, pages. */
class HostDaemon
{
public:
  /** Listens at once; fails when an address cannot be bound. */
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
   * Stops without cutting a request off: not ready, tasks handed over, answers
   * close their connections; the io_context is stopped when all have ended, or
   * shortly before the grace time is over.
   */
  void Stop();

  /**
   * Takes over what can change while the process runs: terms of cold starts and
   * of repeats, and the grace time. The rest needs a restart; a difference
   * there is logged.
   */
  void Reload(const HostOptions& aOptions);

private:
  struct Impl;
  explicit HostDaemon(std::unique_ptr<Impl> aImpl);

  std::unique_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // HOST_HOSTDAEMON_H
