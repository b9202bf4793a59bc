#ifndef FLEET_CATALOGPULLER_H
#define FLEET_CATALOGPULLER_H

#include "fleet/CatalogPullResponse.h"
#include "fleet/PeerAddress.h"
#include "lacewing/Clock.h"
#include "lacewing/Outcome.h"

#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace lacewing {

class HttpCaller;
struct ExchangeResult;

/** Requests changes of the catalog from peers. */
class CatalogPuller
{
public:
  /** Gets the peer, the response, and the time since the request. */
  using Handler = std::function<
    void(const PeerAddress&, const Outcome<CatalogPullResponse>&, Duration)>;

  CatalogPuller(asio::io_context& aContext,
                const Clock& aClock,
                Handler aHandler);
  ~CatalogPuller();
  CatalogPuller(const CatalogPuller&) = delete;
  CatalogPuller& operator=(const CatalogPuller&) = delete;

  /**
   * Requests from aPeer all changes after the positions aKnown (by
   * CatalogKind). The handler is called once, at most 700 ms later. No pull
   * from aPeer may be running.
   */
  void Pull(const PeerAddress& aPeer, const std::vector<StorePosition>& aKnown);

private:
  void OnResult(const PeerAddress& aPeer,
                const ExchangeResult& aResult,
                Duration aElapsed);
  /** Closes the connections to all peers but aPeer that wait for nothing. */
  void CloseIdle(const HostId& aPeer);

  asio::io_context& context_;
  const Clock& clock_;
  const Handler handler_;
  std::map<HostId, std::unique_ptr<HttpCaller>> callers_;
};

} // namespace lacewing

#endif // FLEET_CATALOGPULLER_H
