#include "fleet/CatalogPullServer.h"

#include "fleet/CatalogPullResponse.h"
#include "fleet/PeerCodec.h"
#include "fleet/PullRequest.h"

#include <utility>

namespace lacewing {

HttpMessage CatalogPullServer::HandleRequest(const HttpMessage& aRequest,
                                             const CatalogReplica& aReplica)
{
  HttpMessage response;
  const auto known = ReadPullTarget(aRequest.head.target);
  if (!known) {
    response.head.status = 400;
    return response;
  }
  std::vector<StorePosition> reached;
  // The response has the kinds that the request states positions of.
  const std::vector<CatalogKind> kinds =
    FollowedKinds(known->size() > kCatalogKinds.size());
  for (const CatalogKind kind : kinds) {
    reached.push_back(aReplica.PositionOf(kind));
  }
  if (cachedAfter_ != *known || cachedAt_ != reached ||
      cachedCount_ != aReplica.ChangeCount()) {
    CatalogPullResponse pull;
    for (const CatalogKind kind : kinds) {
      pull.parts.push_back(aReplica.Since(kind, (*known)[IndexOf(kind)]));
    }
    cachedBody_ = EncodePullResponse(pull);
    cachedAfter_ = *known;
    cachedAt_ = std::move(reached);
    cachedCount_ = aReplica.ChangeCount();
  }
  response.head.status = 200;
  response.head.fields.Add("Content-Type", "application/octet-stream");
  response.body = cachedBody_;
  return response;
}

} // namespace lacewing
