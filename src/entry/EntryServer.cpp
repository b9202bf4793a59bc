#include "entry/EntryServer.h"

#include "core/Log.h"
#include "core/NewIncarnation.h"
#include "core/RunContext.h"
#include "entry/EntryAdminSource.h"
#include "entry/EntryControl.h"
#include "entry/GracefulStop.h"
#include "net/AdminPages.h"
#include "net/HttpServer.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>

#include <csignal>
#include <utility>

namespace lacewing {

struct EntryServer::Impl
{
  explicit Impl(const EntrySettings& aSettings)
    : settings(aSettings)
  {
  }

  Outcome<void> AddWorker(const Clock& aClock, WorkerId aId);
  Outcome<void> AddAdmin();

  EntrySettings settings;
  Incarnation incarnation = NewIncarnation();
  asio::io_context context{ 1 };
  asio::signal_set signals{ context };
  EntryControl::Workers workers;
  std::unique_ptr<EntryControl> control;
  std::unique_ptr<AdminPages> pages;
  std::unique_ptr<HttpServer> admin;
  std::unique_ptr<GracefulStop> stop;
};

Outcome<void> EntryServer::Impl::AddWorker(const Clock& aClock, WorkerId aId)
{
  WorkerOptions options;
  options.callers = settings.callers;
  if (!workers.empty()) {
    options.callers.port = workers.front()->Port();
  }
  ForwarderOptions& forwarder = options.forwarder;
  forwarder.worker = aId;
  forwarder.requestIdPrefix = settings.host.value() + "-" +
                              std::to_string(incarnation.value()) + "-" +
                              std::to_string(aId.value()) + "-";
  forwarder.limits = settings.limits;
  forwarder.limits.maxBuffered =
    ByteCount(settings.limits.maxBuffered.value() / settings.workers);
  forwarder.engine.strategy = settings.strategy;
  forwarder.engine.seed = settings.seed + aId.value();
  BOOST_OUTCOME_TRY(
    auto worker,
    TrafficWorker::Make(aClock, options, [this](WorkerReport aReport) {
      asio::post(context, [this, report = std::move(aReport)]() mutable {
        control->OnReport(std::move(report));
      });
    }));
  workers.push_back(std::move(worker));
  return outcome::success();
}

Outcome<void> EntryServer::Impl::AddAdmin()
{
  HttpServerOptions options;
  options.endpoint = settings.admin;
  constexpr std::size_t kMaxAdminConnections = 64;
  constexpr ByteCount kMaxAdminBody(4096);
  options.maxConnections = kMaxAdminConnections;
  options.maxBody = kMaxAdminBody;
  pages = std::make_unique<AdminPages>(
    "lacewing-entryd",
    std::make_unique<EntryAdminSource>(settings, control->State()));
  BOOST_OUTCOME_TRY(
    admin,
    HttpServer::Make(context,
                     options,
                     [this](const HttpRequest& aRequest,
                            const std::shared_ptr<HttpResponder>& aResponder) {
                       aResponder->Send(pages->Answer(aRequest));
                     }));
  return outcome::success();
}

Outcome<std::unique_ptr<EntryServer>> EntryServer::Make(
  const Clock& aClock,
  const EntrySettings& aSettings)
{
  auto impl = std::make_unique<Impl>(aSettings);
  for (unsigned worker = 0; worker < aSettings.workers; ++worker) {
    BOOST_OUTCOME_TRY(impl->AddWorker(aClock, WorkerId(worker)));
  }
  impl->control = std::make_unique<EntryControl>(
    impl->context, aClock, impl->settings, impl->incarnation, impl->workers);
  BOOST_OUTCOME_TRY(impl->AddAdmin());
  impl->stop = std::make_unique<GracefulStop>(
    impl->context, aClock, *impl->control, impl->settings.drainDelay);
  return std::unique_ptr<EntryServer>(new EntryServer(std::move(impl)));
}

EntryServer::EntryServer(std::unique_ptr<Impl> aImpl)
  : impl_(std::move(aImpl))
{
}

EntryServer::~EntryServer() = default;

bool EntryServer::Run()
{
  Log(LogLevel::kInfo,
      "entryd-started",
      { { "host", impl_->settings.host.value() },
        { "callers", std::to_string(CallerPort()) },
        { "admin", std::to_string(AdminPort()) } });
  RunContext(impl_->context);
  return impl_->stop->AllAnswered();
}

void EntryServer::Stop()
{
  asio::post(impl_->context, [this] { impl_->stop->Begin(); });
}

void EntryServer::StopOnSignals()
{
  impl_->signals.add(SIGTERM);
  impl_->signals.add(SIGINT);
  impl_->signals.async_wait([this](const asio::error_code& aError, int) {
    if (!aError) {
      impl_->stop->Begin();
    }
  });
}

std::uint16_t EntryServer::CallerPort() const
{
  return impl_->workers.front()->Port();
}

std::uint16_t EntryServer::AdminPort() const
{
  return impl_->admin->Port();
}

} // namespace lacewing
