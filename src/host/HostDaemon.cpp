#include "host/HostDaemon.h"

#include "core/Log.h"
#include "fleet/CatalogPuller.h"
#include "fleet/FleetControl.h"
#include "gateway/Gateway.h"
#include "host/GatewayMetrics.h"
#include "http/SmallHttpServer.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <string>
#include <utility>

namespace lacewing {

namespace {

// The balancer asks once a second and takes a host out after two misses; new
// connections come until then.
constexpr Duration kBalancerNotices = std::chrono::milliseconds(2600);
// Where most hosts of a zone are out of rotation the balancer uses all of them,
// so that a host ends only once no request has come for this long.
constexpr Duration kQuiet = std::chrono::milliseconds(1000);
// Few requests can still be taken in this last part of the grace time.
constexpr Duration kLastUseful = std::chrono::milliseconds(1000);
// Log lines wait at most this long.
constexpr Duration kLogPeriod = std::chrono::milliseconds(200);
// How often a stopping host looks whether all requests have ended.
constexpr Duration kStopCheck = std::chrono::milliseconds(50);
// Left of the grace time for leaving in order.
constexpr Duration kStopMargin = std::chrono::milliseconds(300);

HttpMessage TextAnswer(unsigned aStatus, std::string aBody)
{
  HttpMessage answer;
  answer.head.status = aStatus;
  answer.head.fields.Add("Content-Type", "text/plain");
  answer.body = std::move(aBody);
  return answer;
}

} // namespace

struct HostDaemon::Impl
{
  asio::io_context& context;
  const Clock& clock;
  const HostOptions options;
  SnapshotCell<FleetSnapshot> fleetCell{
    std::make_shared<const FleetSnapshot>()
  };
  SnapshotCell<LoadSnapshot> loadCell{ std::make_shared<const LoadSnapshot>() };
  std::unique_ptr<FleetControl> control;
  std::unique_ptr<Gateway> gateway;
  std::unique_ptr<SmallHttpServer> readyServer;
  std::unique_ptr<SmallHttpServer> peerServer;
  std::unique_ptr<SmallHttpServer> metricsServer;
  asio::steady_timer stopTimer;
  asio::steady_timer logTimer;
  Duration grace;
  TimePoint stopAt;
  bool stopping = false;
  bool idleClosed = false;

  Impl(asio::io_context& aContext,
       const Clock& aClock,
       const HostOptions& aOptions)
    : context(aContext)
    , clock(aClock)
    , options(aOptions)
    , stopTimer(aContext)
    , logTimer(aContext)
    , grace(aOptions.grace)
  {
  }

  Outcome<void> Start(const CatalogDecoder& aDecoder, CatalogSource& aSource)
  {
    BOOST_OUTCOME_TRY(
      gateway, Gateway::Make(clock, options.gateway, fleetCell, loadCell));
    BOOST_OUTCOME_TRY(control,
                      FleetControl::Make(context,
                                         clock,
                                         options.identity,
                                         options.fleet,
                                         aDecoder,
                                         aSource,
                                         fleetCell,
                                         loadCell));
    BOOST_OUTCOME_TRY(readyServer, Serve(options.ready, &Impl::ServeReady));
    BOOST_OUTCOME_TRY(
      peerServer, Serve(options.identity.self.ToEndpoint(), &Impl::ServePeer));
    BOOST_OUTCOME_TRY(metricsServer,
                      Serve(options.metrics, &Impl::ServeMetrics));
    ScheduleLogFlush();
    return outcome::success();
  }

  using Page = void (Impl::*)(const HttpMessage&, SmallHttpServer::Responder);

  Outcome<std::unique_ptr<SmallHttpServer>> Serve(const Endpoint& aEndpoint,
                                                  Page aPage)
  {
    return SmallHttpServer::Make(
      context,
      aEndpoint,
      [this, aPage](const HttpMessage& aRequest,
                    SmallHttpServer::Responder aRespond) {
        (this->*aPage)(aRequest, std::move(aRespond));
      });
  }

  void ScheduleLogFlush()
  {
    logTimer.expires_after(kLogPeriod);
    logTimer.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        FlushLog();
        ScheduleLogFlush();
      }
    });
  }

  void ServeReady(const HttpMessage& aRequest,
                  SmallHttpServer::Responder aRespond)
  {
    if (aRequest.head.target != options.readyPath) {
      aRespond(TextAnswer(404, ""));
      return;
    }
    aRespond(TextAnswer(control->Ready() ? 200 : 503, ""));
  }

  void ServePeer(const HttpMessage& aRequest,
                 SmallHttpServer::Responder aRespond)
  {
    const std::string& target = aRequest.head.target;
    if (target.substr(0, target.find('?')) != CatalogPuller::Path()) {
      aRespond(TextAnswer(404, ""));
      return;
    }
    aRespond(control->HandlePull(aRequest));
  }

  void ServeMetrics(const HttpMessage& aRequest,
                    SmallHttpServer::Responder aRespond)
  {
    if (aRequest.head.target != options.metricsPath) {
      aRespond(TextAnswer(404, ""));
      return;
    }
    gateway->ReadCounters(
      [this, respond = std::move(aRespond)](const GatewayCounters& aCounters) {
        asio::post(context, [this, respond, aCounters] {
          respond(TextAnswer(
            200, GatewayMetricsText(aCounters) + control->MetricsText()));
        });
      });
  }

  void Stop()
  {
    if (std::exchange(stopping, true)) {
      return;
    }
    Log(LogLevel::kInfo, "stopping");
    stopAt = clock.Now();
    control->BeginLeave();
    gateway->BeginDrain(stopAt + grace - kStopMargin);
    ScheduleStopCheck();
  }

  void ScheduleStopCheck()
  {
    stopTimer.expires_after(kStopCheck);
    stopTimer.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        OnStopCheck();
      }
    });
  }

  void OnStopCheck()
  {
    const Duration passed = clock.Now() - stopAt;
    if (passed >= grace - kStopMargin) {
      Log(LogLevel::kWarning, "stopped", { { "by", "the grace time" } });
      context.stop();
      return;
    }
    if (passed >= kBalancerNotices) {
      if (!std::exchange(idleClosed, true)) {
        gateway->CloseIdle();
      }
      gateway->ReadActivity([this](const GatewayActivity& aActivity) {
        asio::post(context, [this, aActivity] { OnActivity(aActivity); });
      });
    }
    ScheduleStopCheck();
  }

  void OnActivity(const GatewayActivity& aActivity)
  {
    const TimePoint now = clock.Now();
    const bool unused = now - aActivity.lastRequest >= kQuiet ||
                        now - stopAt >= grace - kLastUseful;
    if (aActivity.busy == 0 && unused &&
        now - stopAt >= kBalancerNotices + 2 * kStopCheck) {
      Log(LogLevel::kInfo, "stopped", { { "by", "the last request's end" } });
      context.stop();
    }
  }
};

HostDaemon::HostDaemon(std::unique_ptr<Impl> aImpl)
  : impl_(std::move(aImpl))
{
}

HostDaemon::~HostDaemon() = default;

Outcome<std::unique_ptr<HostDaemon>> HostDaemon::Make(
  asio::io_context& aContext,
  const Clock& aClock,
  const HostOptions& aOptions,
  const CatalogDecoder& aDecoder,
  CatalogSource& aSource)
{
  auto impl = std::make_unique<Impl>(aContext, aClock, aOptions);
  BOOST_OUTCOME_TRYV(impl->Start(aDecoder, aSource));
  return std::unique_ptr<HostDaemon>(new HostDaemon(std::move(impl)));
}

void HostDaemon::Stop()
{
  impl_->Stop();
}

void HostDaemon::Reload(const HostOptions& aOptions)
{
  impl_->grace = aOptions.grace;
  impl_->control->SetColdTerms(aOptions.fleet.cold);
  impl_->gateway->SetRetryTerms(aOptions.gateway.retries);
  const HostOptions& held = impl_->options;
  if (!(aOptions.gateway.front == held.gateway.front) ||
      !(aOptions.ready == held.ready) ||
      aOptions.identity.self.host != held.identity.self.host ||
      aOptions.identity.self.zone != held.identity.self.zone) {
    Log(LogLevel::kWarning,
        "settings",
        { { "error", "an address, the host's name or its zone differs" },
          { "remedy", "restart the process" } });
  }
}

} // namespace lacewing
