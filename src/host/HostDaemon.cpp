#include "host/HostDaemon.h"

#include "core/Log.h"
#include "core/OneShotTimer.h"
#include "fleet/FleetControl.h"
#include "fleet/PullRequest.h"
#include "gateway/Gateway.h"
#include "host/AllowanceService.h"
#include "host/GatewayMetrics.h"
#include "http/SmallHttpServer.h"

#include <asio/post.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace lacewing {

namespace {

// The platform's balancer polls readiness once a second and removes a host
// after two failed polls. It opens new connections to the host until then.
constexpr Duration kBalancerDetectionTime = std::chrono::milliseconds(2600);
// When most hosts of a zone are out of rotation, the balancer sends requests to
// all of them. A stopping host therefore stops listening only after it has
// received no request for this long.
constexpr Duration kIdleBeforeStop = std::chrono::milliseconds(1000);
// In this last part of the grace period few requests could still finish, so
// the host no longer waits for kIdleBeforeStop to pass.
constexpr Duration kIdleWaitCutoff = std::chrono::milliseconds(1000);
// Buffered log lines are flushed this often.
constexpr Duration kLogPeriod = std::chrono::milliseconds(200);
// Callers see the end of their idle connections before the process ends.
constexpr Duration kCloseTime = std::chrono::milliseconds(50);
// How often a stopping host checks whether all requests have ended.
constexpr Duration kStopCheckPeriod = std::chrono::milliseconds(50);
// Part of the grace period that is kept back for an orderly exit: requests that
// are still open then get a local response. Longer, it would end requests whose
// targets may still answer.
constexpr Duration kShutdownMargin = std::chrono::milliseconds(300);
// The process ends this long before the platform kills it, even if the traffic
// thread did not report that all responses are written.
constexpr Duration kExitMargin = std::chrono::milliseconds(50);
static_assert(Gateway::kFlushTime + kCloseTime + kExitMargin < kShutdownMargin,
              "the gateway must report in time");

HttpMessage TextResponse(unsigned aStatus, std::string aBody)
{
  HttpMessage response;
  response.head.status = aStatus;
  response.head.fields.Add("Content-Type", "text/plain");
  response.body = std::move(aBody);
  return response;
}

/** Adds the cell by which the traffic thread tells the sizes of requests. */
HostOptions WithSpillUsage(HostOptions aOptions)
{
  if (aOptions.fleet.spill) {
    const auto cell = std::make_shared<SnapshotCell<SpillUsage>>(
      std::make_shared<const SpillUsage>());
    aOptions.gateway.spillUsage = cell;
    aOptions.fleet.spillUsage = cell;
  }
  return aOptions;
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
  /** Null if the settings do not ask for customers' limits. */
  std::unique_ptr<AllowanceService> allowances;
  std::unique_ptr<Gateway> gateway;
  std::unique_ptr<SmallHttpServer> readyServer;
  std::unique_ptr<SmallHttpServer> peerServer;
  std::unique_ptr<SmallHttpServer> metricsServer;
  OneShotTimer stopTimer;
  OneShotTimer limitTimer;
  OneShotTimer logTimer;
  Duration gracePeriod;
  TimePoint stopRequestedAt;
  bool stopping = false;
  bool idleConnectionsClosed = false;
  /** The gateway has ended its work; the process ends after kCloseTime. */
  bool closed = false;

  Impl(asio::io_context& aContext,
       const Clock& aClock,
       const HostOptions& aOptions)
    : context(aContext)
    , clock(aClock)
    , options(WithSpillUsage(aOptions))
    , stopTimer(aContext)
    , limitTimer(aContext)
    , logTimer(aContext)
    , gracePeriod(aOptions.gracePeriod)
  {
  }

  Outcome<void> Start(const CatalogDecoder& aDecoder, CatalogSource& aSource)
  {
    BOOST_OUTCOME_TRY(
      gateway,
      Gateway::Make(
        clock, options.gateway, fleetCell, loadCell, AllowanceAsker()));
    BOOST_OUTCOME_TRY(control,
                      FleetControl::Make(context,
                                         clock,
                                         options.identity,
                                         options.fleet,
                                         aDecoder,
                                         aSource,
                                         fleetCell,
                                         loadCell));
    BOOST_OUTCOME_TRYV(StartAllowances());
    control->SetEvidenceReader([this](EvidenceHandler aHandler) {
      gateway->ReadEvidence([this, handler = std::move(aHandler)](
                              std::vector<RolloutEvidence> aEvidence) {
        asio::post(context, [handler, evidence = std::move(aEvidence)] {
          handler(evidence);
        });
      });
    });
    BOOST_OUTCOME_TRY(readyServer,
                      Serve(options.readyEndpoint, &Impl::ServeReady));
    BOOST_OUTCOME_TRY(
      peerServer, Serve(options.identity.self.ToEndpoint(), &Impl::ServePeer));
    BOOST_OUTCOME_TRY(metricsServer,
                      Serve(options.metricsEndpoint, &Impl::ServeMetrics));
    ScheduleLogFlush();
    return outcome::success();
  }

  /** Passes the traffic thread's asks to the control thread. */
  AllowanceGate::Asker AllowanceAsker()
  {
    if (!options.allowances) {
      return nullptr;
    }
    return [this](const AllowanceAsk& aAsk) {
      asio::post(context, [this, aAsk] { allowances->OnAsk(aAsk); });
    };
  }

  Outcome<void> StartAllowances()
  {
    if (!options.allowances) {
      return outcome::success();
    }
    AllowanceService::Links links;
    links.answer = [this](const AllowanceAnswer& aAnswer) {
      gateway->AnswerAsk(aAnswer);
    };
    links.view = [this] { return control->HostsForAllowances(); };
    BOOST_OUTCOME_TRY(allowances,
                      AllowanceService::Make(context,
                                             clock,
                                             *options.allowances,
                                             options.identity,
                                             std::move(links)));
    control->SetTickHandler(
      [this] { allowances->Tick(fleetCell.Get()->routes); });
    return outcome::success();
  }

  using PageHandler = void (Impl::*)(const HttpMessage&,
                                     SmallHttpServer::Responder);

  Outcome<std::unique_ptr<SmallHttpServer>> Serve(const Endpoint& aEndpoint,
                                                  PageHandler aHandler)
  {
    return SmallHttpServer::Make(
      context,
      aEndpoint,
      [this, aHandler](const HttpMessage& aRequest,
                       SmallHttpServer::Responder aRespond) {
        (this->*aHandler)(aRequest, std::move(aRespond));
      });
  }

  void ScheduleLogFlush()
  {
    logTimer.Arm(kLogPeriod, [this] {
      ScheduleLogFlush();
      FlushLog();
    });
  }

  void ServeReady(const HttpMessage& aRequest,
                  SmallHttpServer::Responder aRespond)
  {
    if (aRequest.head.target != options.readyPath) {
      aRespond(TextResponse(404, ""));
      return;
    }
    aRespond(TextResponse(control->Ready() ? 200 : 503, ""));
  }

  void ServePeer(const HttpMessage& aRequest,
                 SmallHttpServer::Responder aRespond)
  {
    const std::string& target = aRequest.head.target;
    if (target.substr(0, target.find('?')) != kPullPath) {
      aRespond(TextResponse(404, ""));
      return;
    }
    aRespond(control->HandlePull(aRequest));
  }

  void ServeMetrics(const HttpMessage& aRequest,
                    SmallHttpServer::Responder aRespond)
  {
    if (aRequest.head.target != options.metricsPath) {
      aRespond(TextResponse(404, ""));
      return;
    }
    gateway->ReadCounters([this, respond = std::move(aRespond)](
                            const GatewayCounters& aCounters) {
      asio::post(context, [this, respond, aCounters] {
        respond(TextResponse(200,
                             GatewayMetricsText(aCounters) +
                               control->MetricsText() +
                               (allowances ? allowances->MetricsText() : "")));
      });
    });
  }

  void Stop()
  {
    if (std::exchange(stopping, true)) {
      return;
    }
    Log(LogLevel::kInfo, "stopping");
    stopRequestedAt = clock.Now();
    control->BeginLeave();
    gateway->BeginDrain(DrainEnd(), [this](const DrainResult& aResult) {
      asio::post(context,
                 [this, aResult] { Finish("the grace time", aResult); });
    });
    ArmLimit();
    ScheduleStopCheck();
  }

  TimePoint DrainEnd() const
  {
    return stopRequestedAt + gracePeriod - kShutdownMargin;
  }

  /** Leaves the gateway its time even if the drain's end has passed already. */
  void ArmLimit()
  {
    const TimePoint drainEnd = std::max(DrainEnd(), clock.Now());
    limitTimer.ArmAt(drainEnd + kShutdownMargin - kExitMargin, [this] {
      Log(LogLevel::kError,
          "stopped",
          { { "by", "the time limit" },
            { "error", "the traffic thread did not end its requests" } });
      context.stop();
    });
  }

  void SetGracePeriod(Duration aPeriod)
  {
    // The platform may kill the process at the end of either grace period.
    const Duration period = stopping ? std::min(gracePeriod, aPeriod) : aPeriod;
    const bool changed = period != std::exchange(gracePeriod, period);
    if (stopping && changed && !closed) {
      gateway->SetDrainEnd(DrainEnd());
      ArmLimit();
    }
  }

  void ScheduleStopCheck()
  {
    stopTimer.Arm(kStopCheckPeriod, [this] { OnStopCheck(); });
  }

  void OnStopCheck()
  {
    ScheduleStopCheck();
    const Duration elapsed = clock.Now() - stopRequestedAt;
    if (elapsed >= kBalancerDetectionTime) {
      if (!std::exchange(idleConnectionsClosed, true)) {
        gateway->CloseIdle();
      }
      const Duration quiet =
        elapsed < gracePeriod - kIdleWaitCutoff ? kIdleBeforeStop : Duration(0);
      gateway->CloseIfQuiet(quiet, [this](bool aClosed) {
        if (aClosed) {
          asio::post(context, [this] { Finish("the last request's end", {}); });
        }
      });
    }
  }

  /** Ends the process once callers can have seen the end of their connections.
   */
  void Finish(const char* aBy, const DrainResult& aResult)
  {
    if (std::exchange(closed, true)) {
      return;
    }
    limitTimer.Cancel();
    stopTimer.Arm(kCloseTime, [this, aBy, aResult] {
      const bool cut = aResult.open > 0 || aResult.unwritten > 0;
      Log(cut ? LogLevel::kWarning : LogLevel::kInfo,
          "stopped",
          { { "by", aBy },
            { "open", std::to_string(aResult.open) },
            { "unknown", std::to_string(aResult.unknown) },
            { "refused", std::to_string(aResult.refused) },
            { "abandoned", std::to_string(aResult.abandoned) },
            { "unwritten", std::to_string(aResult.unwritten) } });
      context.stop();
    });
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
  impl_->SetGracePeriod(aOptions.gracePeriod);
  impl_->control->SetColdTerms(aOptions.fleet.cold);
  impl_->control->SetProbeLimits(aOptions.fleet.probes);
  impl_->gateway->SetRetryTerms(aOptions.gateway.retries);
  impl_->gateway->SetProbeLimits(aOptions.gateway.probes);
  const HostOptions& current = impl_->options;
  if (!(aOptions.gateway.front == current.gateway.front) ||
      !(aOptions.readyEndpoint == current.readyEndpoint) ||
      aOptions.identity.self.host != current.identity.self.host ||
      aOptions.identity.self.zone != current.identity.self.zone) {
    Log(LogLevel::kWarning,
        "settings",
        { { "error",
            "the new settings change an address, the host's name or its zone" },
          { "remedy", "restart the process to apply them" } });
  }
}

} // namespace lacewing
