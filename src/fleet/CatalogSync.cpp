#include "fleet/CatalogSync.h"

#include "fleet/PositionOrder.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

constexpr const char* kStoreName = "store";

} // namespace

CatalogSync::CatalogSync(asio::io_context& aContext,
                         const Clock& aClock,
                         std::vector<CatalogKind> aKinds,
                         Handler aHandler)
  : clock_(aClock)
  , kinds_(std::move(aKinds))
  , handler_(std::move(aHandler))
  , puller_(aContext,
            aClock,
            [this](const PeerAddress& aPeer,
                   const Outcome<CatalogPullResponse>& aResponse,
                   Duration aElapsed) { OnPulled(aPeer, aResponse, aElapsed); })
  , patience_(aContext)
{
}

std::vector<StorePosition> CatalogSync::Positions() const
{
  std::vector<StorePosition> positions;
  for (const CatalogKind kind : kinds_) {
    positions.push_back(replica_.PositionOf(kind));
  }
  return positions;
}

std::vector<StorePosition> CatalogSync::PositionsFor(
  const std::vector<StorePosition>& aPeer) const
{
  std::vector<StorePosition> positions = Positions();
  positions.resize(
    std::min(positions.size(), std::max(aPeer.size(), kCatalogKinds.size())));
  return positions;
}

bool CatalogSync::Equals(const std::vector<StorePosition>& aPositions) const
{
  return aPositions == PositionsFor(aPositions);
}

bool CatalogSync::Apply(CatalogKind aKind, const CatalogChanges& aChanges)
{
  const bool changed = replica_.Apply(aKind, aChanges);
  progress_.NoteReached(Positions(), kStoreName, clock_.Now());
  return changed;
}

void CatalogSync::NotePeer(const PeerAddress& aPeer,
                           const std::vector<StorePosition>& aPositions)
{
  const TimePoint now = clock_.Now();
  plan_.NotePeer(aPeer, aPositions, now);
  if (IsAhead(aPositions, Positions())) {
    progress_.NoteBehind(aPeer.host.value(), aPositions, now);
    BeginPulls();
  }
}

void CatalogSync::BeginPulls()
{
  const auto peer = plan_.Begin(Positions(), clock_.Now());
  if (!peer) {
    return;
  }
  puller_.Pull(*peer, PositionsFor(plan_.PositionsOf(peer->host)));
  patience_.Arm(PullPlan::kPatience, [this] { BeginPulls(); });
}

void CatalogSync::OnPulled(const PeerAddress& aPeer,
                           const Outcome<CatalogPullResponse>& aResponse,
                           Duration aElapsed)
{
  plan_.End(aPeer.host, static_cast<bool>(aResponse), clock_.Now());
  progress_.NotePull(aPeer.host.value(),
                     aResponse ? std::string() : aResponse.error().ToString(),
                     aElapsed);
  if (aResponse) {
    const std::vector<StorePosition> before = Positions();
    const std::vector<CatalogChanges>& parts = aResponse.value().parts;
    PulledChanges pulled;
    for (const CatalogKind kind : kinds_) {
      if (IndexOf(kind) < parts.size() &&
          replica_.Apply(kind, parts[IndexOf(kind)])) {
        pulled.objects = true;
        pulled.configuration |= kind == CatalogKind::kConfiguration;
      }
    }
    pulled.positions = Positions() != before;
    progress_.NoteReached(Positions(), aPeer.host.value(), clock_.Now());
    handler_(aPeer, pulled);
  }
  BeginPulls();
}

HttpMessage CatalogSync::HandlePull(const HttpMessage& aRequest)
{
  return server_.HandleRequest(aRequest, replica_);
}

} // namespace lacewing
