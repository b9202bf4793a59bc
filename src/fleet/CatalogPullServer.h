#ifndef FLEET_CATALOGPULLSERVER_H
#define FLEET_CATALOGPULLSERVER_H

#include "catalog/CatalogReplica.h"
#include "http/HttpMessage.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lacewing {

/** Answers the requests of peers for changes of the catalog. */
class CatalogPullServer
{
public:
  /**
   * Returns the response to a peer's request, with status 400 if the request
   * cannot be parsed. Consecutive requests for the same changes share one
   * compressed body.
   */
  HttpMessage HandleRequest(const HttpMessage& aRequest,
                            const CatalogReplica& aReplica);

private:
  /**
   * The most recent compressed response body. It holds all changes after
   * cachedAfter_ up to cachedAt_.
   */
  std::string cachedBody_;
  std::vector<StorePosition> cachedAfter_;
  std::vector<StorePosition> cachedAt_;
  /** The replica's change count at that time. */
  std::uint64_t cachedCount_ = 0;
};

} // namespace lacewing

#endif // FLEET_CATALOGPULLSERVER_H
