#ifndef FLEET_CATALOGPULLER_H
#define FLEET_CATALOGPULLER_H

#include "catalog/CatalogReplica.h"
#include "fleet/CatalogProgress.h"
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

/** Pulls catalog changes from peers, and serves the pulls of peers. */
class CatalogPuller
{
public:
  using Handler =
    std::function<void(const Endpoint& aPeer, const CatalogPullResponse&)>;

  /** Reports each pull to aProgress, which must outlive this object. */
  CatalogPuller(asio::io_context& aContext,
                const Clock& aClock,
                CatalogProgress& aProgress,
                Handler aHandler);
  ~CatalogPuller();
  CatalogPuller(const CatalogPuller&) = delete;
  CatalogPuller& operator=(const CatalogPuller&) = delete;

  /**
   * Requests from aPeer all changes after the positions aKnown (by
   * CatalogKind). Does nothing while a pull is running.
   */
  void Pull(const Endpoint& aPeer, const std::vector<StorePosition>& aKnown);

  /**
   * Returns the response to a peer's pull request, with status 400 if the
   * request cannot be parsed. Consecutive requests for the same changes share
   * one compressed body.
   */
  HttpMessage HandleRequest(const HttpMessage& aRequest,
                            const CatalogReplica& aReplica);

  /** The path of pull requests, without the query. */
  static const char* Path();

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // FLEET_CATALOGPULLER_H
