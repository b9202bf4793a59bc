#ifndef FLEET_CATALOGPULLER_H
#define FLEET_CATALOGPULLER_H

#include "catalog/CatalogReplica.h"
#include "fleet/CatalogPullResponse.h"
#include "http/HttpMessage.h"
#include "lacewing/Clock.h"
#include "lacewing/Endpoint.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lacewing {

/** Brings what changed in the catalog from one host to another. */
class CatalogPuller
{
public:
  using Handler = std::function<void(const CatalogPullResponse&)>;

  CatalogPuller(asio::io_context& aContext,
                const Clock& aClock,
                Handler aHandler);
  ~CatalogPuller();
  CatalogPuller(const CatalogPuller&) = delete;
  CatalogPuller& operator=(const CatalogPuller&) = delete;

  /** Asks a peer for all after aKnown; does nothing while a pull runs. */
  void Pull(const Endpoint& aPeer, const std::vector<Revision>& aKnown);

  /**
   * A peer's answer to such a request; 400 when it cannot be read. Peers that
   * ask for the same share one packed body.
   */
  HttpMessage HandleRequest(const HttpMessage& aRequest,
                            const CatalogReplica& aReplica);

  /** The path of a pull, without the query. */
  static const char* Path();

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // FLEET_CATALOGPULLER_H
