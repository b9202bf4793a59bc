#include "soak/SoakCaller.h"

#include <utility>

namespace lacewing {

namespace {

constexpr int kLeastPauseMs = 20;
constexpr int kMostPauseMs = 140;
constexpr Duration kRequestTimeout = std::chrono::seconds(4);
// The caller gives up one request in this many, on average, early.
constexpr std::uint64_t kGiveUpEvery = 40;
constexpr int kMostEarlyMs = 60;
// One request in this many, on average, uses a new connection.
constexpr std::uint64_t kFreshEvery = 8;

} // namespace

SoakCaller::SoakCaller(asio::io_context& aContext,
                       const Clock& aClock,
                       SoakLedger& aLedger,
                       std::mt19937_64& aRandom,
                       HostPicker aPickHost,
                       RequestMaker aMakeRequest)
  : context_(aContext)
  , clock_(aClock)
  , ledger_(aLedger)
  , random_(aRandom)
  , pickHost_(std::move(aPickHost))
  , makeRequest_(std::move(aMakeRequest))
  , pause_(aContext)
  , timeout_(aContext)
{
}

void SoakCaller::Start()
{
  Wait();
}

Duration SoakCaller::Between(int aLeastMs, int aMostMs)
{
  std::uniform_int_distribution<int> distribution(aLeastMs, aMostMs);
  return std::chrono::milliseconds(distribution(random_));
}

void SoakCaller::Wait()
{
  pause_.expires_after(Between(kLeastPauseMs, kMostPauseMs));
  pause_.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      Send();
    }
  });
}

bool SoakCaller::Connect()
{
  if (connection_ && connection_->Reusable() && random_() % kFreshEvery != 0) {
    return true;
  }
  const auto host = pickHost_();
  if (!host) {
    connection_.reset();
    return false;
  }
  ConnectionOptions options;
  options.endpoint = *host;
  connection_ = std::make_unique<HttpConnection>(context_, options, clock_);
  return true;
}

OutgoingRequest SoakCaller::Outgoing(const SoakRequest& aRequest) const
{
  OutgoingRequest request;
  request.head.method = aRequest.method;
  request.head.target = aRequest.target;
  request.head.fields.Add("Host", "soak.example");
  request.head.fields.Add("Lacewinghoist-Request-Id", aRequest.id);
  request.head.fields.Add(
    "Lacewinghoist-Deadline-Ms",
    std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(kRequestTimeout)
        .count()));
  if (!aRequest.body.empty()) {
    request.body = std::make_shared<const std::string>(aRequest.body);
  }
  return request;
}

void SoakCaller::Send()
{
  if (!Connect()) {
    Wait();
    return;
  }
  const SoakRequest request = makeRequest_();
  ledger_.OnSent(request);
  pendingId_ = request.id;
  ArmTimeout(request.id,
             random_() % kGiveUpEvery == 0 ? Between(1, kMostEarlyMs)
                                           : kRequestTimeout);
  connection_->Send(Outgoing(request),
                    [this, id = request.id](const ExchangeResult& aResult) {
                      timeout_.cancel();
                      pendingId_.clear();
                      ledger_.OnEnded(id, aResult);
                      Wait();
                    });
}

void SoakCaller::ArmTimeout(const std::string& aId, Duration aTimeout)
{
  timeout_.expires_after(aTimeout);
  timeout_.async_wait([this, aId](const asio::error_code& aError) {
    // The response may have arrived after the timer expired.
    if (!aError && pendingId_ == aId) {
      connection_.reset();
      ledger_.OnGaveUp(aId);
      Wait();
    }
  });
}

} // namespace lacewing
