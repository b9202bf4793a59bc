#include "soak/SoakHost.h"

#include <csignal>
#include <utility>

namespace lacewing {

namespace {

constexpr Duration kReadyTimeout = std::chrono::milliseconds(200);
// Added to the grace time, since an exit is noticed only at the next poll.
constexpr Duration kExitMargin = std::chrono::milliseconds(500);

ConnectionOptions OptionsFor(const std::string& aEndpoint)
{
  ConnectionOptions options;
  options.endpoint = Endpoint::Parse(aEndpoint).value();
  return options;
}

nlohmann::json WithStore(nlohmann::json aSettings, const Endpoint& aStore)
{
  aSettings["platform"] = { { "address", aStore.ToString() } };
  return aSettings;
}

std::unique_ptr<ProxyPair> MakeLink(asio::io_context& aContext,
                                    const Clock& aClock,
                                    const Endpoint& aListen,
                                    const Endpoint& aTo)
{
  return std::move(ProxyPair::Make(aContext, aClock, aListen, aTo).value());
}

} // namespace

SoakHost::SoakHost(asio::io_context& aContext,
                   const Clock& aClock,
                   SoakLedger& aLedger,
                   std::string aProgram,
                   nlohmann::json aSettings,
                   const Endpoint& aStore,
                   const Endpoint& aStoreLink,
                   const Endpoint& aFrontLink)
  : clock_(aClock)
  , ledger_(aLedger)
  , program_(std::move(aProgram))
  , name_(aSettings.at("node").get<std::string>())
  , zone_(aSettings.at("zone").get<std::string>())
  , storeLink_(MakeLink(aContext, aClock, aStoreLink, aStore))
  , frontLink_(MakeLink(
      aContext,
      aClock,
      aFrontLink,
      Endpoint::Parse(aSettings.at("listen").at("front").get<std::string>())
        .value()))
  , settings_(WithStore(aSettings, aStoreLink).dump())
  , readiness_(
      aContext,
      OptionsFor(aSettings.at("listen").at("ready").get<std::string>()),
      aClock)
{
}

void SoakHost::Start()
{
  startAt_.reset();
  terminatedAt_.reset();
  paused_ = false;
  ledger_.Disturbances().SetRestarting(name_, clock_.Now());
  ledger_.OnHostStarted(name_);
  process_ = std::make_unique<Process>(
    program_, std::vector<std::string>{ "--settings=" + settings_.Path() });
}

void SoakHost::Kill(Duration aDown)
{
  CheckExit();
  if (process_) {
    logs_ += process_->Output();
    process_.reset();
  }
  terminatedAt_.reset();
  startAt_ = clock_.Now() + aDown;
}

void SoakHost::Terminate(Duration aGrace)
{
  if (Running()) {
    terminatedAt_ = clock_.Now();
    ledger_.Disturbances().SetRestarting(name_, *terminatedAt_ + aGrace);
    process_->Signal(SIGTERM);
  }
}

void SoakHost::Pause()
{
  if (process_) {
    paused_ = true;
    process_->Signal(SIGSTOP);
  }
}

void SoakHost::Resume()
{
  if (process_ && std::exchange(paused_, false)) {
    process_->Signal(SIGCONT);
    // The paused process handles the SIGTERM only now, so the grace time
    // starts.
    if (terminatedAt_) {
      terminatedAt_ = clock_.Now();
    }
  }
}

void SoakHost::Reload()
{
  if (Alive()) {
    process_->Signal(SIGHUP);
  }
}

bool SoakHost::CheckExit()
{
  const auto code =
    process_ ? process_->Wait(std::chrono::milliseconds(0)) : std::nullopt;
  if (!code) {
    return false;
  }
  if (!terminatedAt_ || *code != 0) {
    ledger_.AddViolation("exit",
                         name_ + " exited unexpectedly with code " +
                           std::to_string(*code));
  }
  logs_ += process_->Output();
  process_.reset();
  return true;
}

void SoakHost::Poll(Duration aGrace)
{
  if (startAt_ && clock_.Now() >= *startAt_) {
    Start();
  }
  if (CheckExit()) {
    Start();
  }
  if (terminatedAt_ && !paused_ &&
      clock_.Now() - *terminatedAt_ > aGrace + kExitMargin) {
    ledger_.AddViolation("grace", name_ + " still runs after its grace time");
    Kill(Duration(0));
  }
  ProbeReadiness();
}

void SoakHost::ProbeReadiness()
{
  if (readiness_.Busy()) {
    return;
  }
  HttpMessage request;
  request.head.method = "GET";
  request.head.target = "/-/ready";
  request.head.fields.Add("Host", name_);
  readiness_.Call(
    std::move(request), kReadyTimeout, [this](const ExchangeResult& aResult) {
      const bool ready = aResult.end == ExchangeEnd::kAnswered &&
                         aResult.answer.head.status == 200;
      misses_ = ready ? 0 : misses_ + 1;
    });
}

std::string SoakHost::Logs() const
{
  return logs_ + (process_ ? process_->Output() : std::string());
}

} // namespace lacewing
