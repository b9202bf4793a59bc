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
                       const CallerHabit& aHabit,
                       HostPicker aPickHost,
                       RequestMaker aMakeRequest,
                       IdleLimit aIdleLimit)
  : context_(aContext)
  , clock_(aClock)
  , ledger_(aLedger)
  , random_(aRandom)
  , habit_(aHabit)
  , pickHost_(std::move(aPickHost))
  , makeRequest_(std::move(aMakeRequest))
  , idleLimit_(std::move(aIdleLimit))
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

Duration SoakCaller::Pause()
{
  const Duration longest = idleLimit_() * 4 / 5;
  return Between(
    kLeastPauseMs,
    habit_.pausesLong
      ? static_cast<int>(
          std::chrono::duration_cast<std::chrono::milliseconds>(longest)
            .count())
      : kMostPauseMs);
}

void SoakCaller::Wait()
{
  pause_.expires_after(Pause());
  pause_.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      Send();
    }
  });
}

bool SoakCaller::Connect()
{
  if (connection_ && connection_->Reusable() &&
      (habit_.keepsConnection || random_() % kFreshEvery != 0)) {
    return true;
  }
  host_ = pickHost_(habit_);
  if (host_ == nullptr) {
    connection_.reset();
    return false;
  }
  ConnectionOptions options;
  options.endpoint = host_->FrontLink().ListenEndpoint();
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
  SoakRequest request = makeRequest_();
  request.host = host_->Name();
  request.endedSending = habit_.endsSending && request.atMostOnce;
  ledger_.OnSent(request);
  pendingId_ = request.id;
  ArmTimeout(request.id);
  if (request.endedSending) {
    SendAndEnd(request);
    return;
  }
  connection_->Send(Outgoing(request),
                    [this, id = request.id](const ExchangeResult& aResult) {
                      OnEnded(id, aResult);
                    });
}

void SoakCaller::SendAndEnd(const SoakRequest& aRequest)
{
  connection_.reset();
  halfClosing_ = std::make_shared<HalfClosingExchange>(
    context_,
    Outgoing(aRequest),
    [this, id = aRequest.id](const ExchangeResult& aResult) {
      OnEnded(id, aResult);
    });
  halfClosing_->Start(host_->FrontLink().ListenEndpoint());
}

void SoakCaller::OnEnded(const std::string& aId, const ExchangeResult& aResult)
{
  timeout_.cancel();
  pendingId_.clear();
  halfClosing_.reset();
  ledger_.OnEnded(aId, aResult);
  Wait();
}

void SoakCaller::ArmTimeout(const std::string& aId)
{
  const bool early = random_() % kGiveUpEvery == 0;
  timeout_.expires_after(early ? Between(1, kMostEarlyMs) : kRequestTimeout);
  timeout_.async_wait([this, aId, early](const asio::error_code& aError) {
    // The response may have arrived after the timer expired.
    if (!aError && pendingId_ == aId) {
      connection_.reset();
      if (const auto exchange = std::exchange(halfClosing_, nullptr)) {
        exchange->Abandon();
      }
      ledger_.OnGaveUp(aId, !early);
      Wait();
    }
  });
}

} // namespace lacewing
