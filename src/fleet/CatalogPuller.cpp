#include "fleet/CatalogPuller.h"

#include "fleet/PeerCodec.h"
#include "fleet/PullRequest.h"
#include "http/HttpCaller.h"

#include <string>
#include <utility>

namespace lacewing {

namespace {

constexpr Duration kPullTimeout = std::chrono::milliseconds(700);
constexpr ByteCount kMaxPullResponse{ 8U << 20U };

Outcome<CatalogPullResponse> ReadPull(const ExchangeResult& aResult)
{
  const unsigned status = aResult.answer.head.status;
  if (aResult.end != ExchangeEnd::kAnswered || status != 200) {
    return Fail(ErrorKind::kUnavailable,
                "the peer did not answer the pull: " +
                  std::string(ToString(aResult.end)) + ", status " +
                  std::to_string(status) + " " + aResult.detail,
                "wait; the host asks other peers");
  }
  auto pull = DecodePullResponse(aResult.answer.body);
  if (pull && !IsNumberOfKinds(pull.value().parts.size())) {
    return Fail(ErrorKind::kInvalidMessage,
                "the pull's response has another number of kinds",
                "check that all hosts run the same release");
  }
  return pull;
}

} // namespace

CatalogPuller::CatalogPuller(asio::io_context& aContext,
                             const Clock& aClock,
                             Handler aHandler)
  : context_(aContext)
  , clock_(aClock)
  , handler_(std::move(aHandler))
{
}

CatalogPuller::~CatalogPuller() = default;

void CatalogPuller::Pull(const PeerAddress& aPeer,
                         const std::vector<StorePosition>& aKnown)
{
  std::unique_ptr<HttpCaller>& caller = callers_[aPeer.host];
  if (!caller || caller->Server() != aPeer.ToEndpoint()) {
    ConnectionOptions options;
    options.endpoint = aPeer.ToEndpoint();
    options.limits.maxBody = kMaxPullResponse;
    caller = std::make_unique<HttpCaller>(context_, options, clock_);
  }
  HttpMessage request;
  request.head.method = "GET";
  request.head.target = WritePullTarget(aKnown);
  caller->Call(
    std::move(request),
    kPullTimeout,
    [this, aPeer, startedAt = clock_.Now()](const ExchangeResult& aResult) {
      OnResult(aPeer, aResult, clock_.Now() - startedAt);
    });
}

void CatalogPuller::OnResult(const PeerAddress& aPeer,
                             const ExchangeResult& aResult,
                             Duration aElapsed)
{
  CloseIdle(aPeer.host);
  handler_(aPeer, ReadPull(aResult), aElapsed);
}

void CatalogPuller::CloseIdle(const HostId& aPeer)
{
  for (auto at = callers_.begin(); at != callers_.end();) {
    const bool idle = at->first != aPeer && !at->second->Busy();
    at = idle ? callers_.erase(at) : std::next(at);
  }
}

} // namespace lacewing
