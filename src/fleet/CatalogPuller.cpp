#include "fleet/CatalogPuller.h"

#include "fleet/PeerCodec.h"
#include "http/HttpCaller.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace lacewing {

namespace {

constexpr Duration kPullTimeout = std::chrono::milliseconds(700);
constexpr ByteCount kMaxPullResponse{ 8U << 20U };
constexpr const char* kPath = "/catalog";

/** Removes a number and the character after it from the start of aText. */
std::optional<std::uint64_t> TakeNumber(std::string_view& aText)
{
  std::uint64_t value = 0;
  const auto [end, error] =
    std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (error != std::errc()) {
    return std::nullopt;
  }
  aText.remove_prefix(static_cast<std::size_t>(end - aText.data()));
  aText.remove_prefix(std::min<std::size_t>(aText.size(), 1));
  return value;
}

/** Whether a message has an entry for each kind, with or without rollouts. */
bool IsNumberOfKinds(std::size_t aEntries)
{
  return aEntries >= kCatalogKinds.size() && aEntries <= kMaxCatalogKinds;
}

/** Parses a list such as "1.12,1.40,2.7" into positions by CatalogKind. */
std::optional<std::vector<StorePosition>> ReadPositions(std::string_view aText)
{
  std::vector<StorePosition> positions;
  while (!aText.empty()) {
    const auto era = TakeNumber(aText);
    const auto revision = TakeNumber(aText);
    if (!era || !revision) {
      return std::nullopt;
    }
    positions.push_back({ StoreEra(*era), Revision(*revision) });
  }
  if (!IsNumberOfKinds(positions.size())) {
    return std::nullopt;
  }
  return positions;
}

std::string WritePositions(const std::vector<StorePosition>& aPositions)
{
  std::string text;
  for (const StorePosition position : aPositions) {
    text += (text.empty() ? "" : ",") + ToString(position);
  }
  return text;
}

} // namespace

struct CatalogPuller::Impl
{
  asio::io_context& context;
  const Clock& clock;
  CatalogProgress& progress;
  Handler handler;
  std::unique_ptr<HttpCaller> caller;
  /**
   * The most recent compressed response body. It holds all changes after
   * cachedAfter up to cachedAt.
   */
  std::string cachedBody;
  std::vector<StorePosition> cachedAfter;
  std::vector<StorePosition> cachedAt;
  /** The replica's change count at that time. */
  std::uint64_t cachedCount = 0;

  void OnResponse(const ExchangeResult& aResult, Duration aElapsed)
  {
    const Endpoint peer = caller->Server();
    if (aResult.end != ExchangeEnd::kAnswered ||
        aResult.answer.head.status != 200) {
      progress.NotePull(peer.ToString(),
                        std::string(ToString(aResult.end)) + ", status " +
                          std::to_string(aResult.answer.head.status) + " " +
                          aResult.detail,
                        aElapsed);
      return;
    }
    const auto pull = DecodePullResponse(aResult.answer.body);
    if (!pull || !IsNumberOfKinds(pull.value().parts.size())) {
      progress.NotePull(
        peer.ToString(), "the response cannot be decoded", aElapsed);
      return;
    }
    progress.NotePull(peer.ToString(), "", aElapsed);
    handler(peer, pull.value());
  }
};

CatalogPuller::CatalogPuller(asio::io_context& aContext,
                             const Clock& aClock,
                             CatalogProgress& aProgress,
                             Handler aHandler)
  : impl_(new Impl{ aContext,
                    aClock,
                    aProgress,
                    std::move(aHandler),
                    nullptr,
                    {},
                    {},
                    {},
                    0 })
{
}

CatalogPuller::~CatalogPuller() = default;

const char* CatalogPuller::Path()
{
  return kPath;
}

void CatalogPuller::Pull(const Endpoint& aPeer,
                         const std::vector<StorePosition>& aKnown)
{
  if (impl_->caller && impl_->caller->Busy()) {
    return;
  }
  if (!impl_->caller || impl_->caller->Server() != aPeer) {
    ConnectionOptions options;
    options.endpoint = aPeer;
    options.limits.maxBody = kMaxPullResponse;
    impl_->caller =
      std::make_unique<HttpCaller>(impl_->context, options, impl_->clock);
  }
  HttpMessage request;
  request.head.method = "GET";
  request.head.target = std::string(kPath) + "?after=" + WritePositions(aKnown);
  const TimePoint startedAt = impl_->clock.Now();
  impl_->caller->Call(std::move(request),
                      kPullTimeout,
                      [this, startedAt](const ExchangeResult& aResult) {
                        impl_->OnResponse(aResult,
                                          impl_->clock.Now() - startedAt);
                      });
}

HttpMessage CatalogPuller::HandleRequest(const HttpMessage& aRequest,
                                         const CatalogReplica& aReplica)
{
  constexpr std::string_view kQuery = "?after=";
  HttpMessage response;
  const std::string& target = aRequest.head.target;
  const std::size_t query = target.find(kQuery);
  const auto known =
    query == std::string::npos
      ? std::nullopt
      : ReadPositions(std::string_view(target).substr(query + kQuery.size()));
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
  if (impl_->cachedAfter != *known || impl_->cachedAt != reached ||
      impl_->cachedCount != aReplica.ChangeCount()) {
    CatalogPullResponse pull;
    for (const CatalogKind kind : kinds) {
      pull.parts.push_back(aReplica.Since(kind, (*known)[IndexOf(kind)]));
    }
    impl_->cachedBody = EncodePullResponse(pull);
    impl_->cachedAfter = *known;
    impl_->cachedAt = std::move(reached);
    impl_->cachedCount = aReplica.ChangeCount();
  }
  response.head.status = 200;
  response.head.fields.Add("Content-Type", "application/octet-stream");
  response.body = impl_->cachedBody;
  return response;
}

} // namespace lacewing
