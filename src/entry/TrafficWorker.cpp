#include "entry/TrafficWorker.h"

#include "core/OneShotTimer.h"
#include "core/RunContext.h"
#include "entry/AnswerWriter.h"
#include "entry/RequestForwarder.h"
#include "net/HttpServer.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <thread>
#include <utility>

namespace lacewing {

namespace {

// Design section 5.4: target reports go out each 100 ms.
constexpr std::chrono::milliseconds kReportPeriod(100);

// Above max_body, so that a body which is too large gets a 413 and not a
// closed connection.
constexpr ByteCount kBodyReserve(64U << 10U);

HttpServerOptions ServerOptions(const WorkerOptions& aOptions,
                                std::shared_ptr<ReadBudget> aBudget)
{
  HttpServerOptions options;
  options.endpoint = aOptions.callers;
  options.reusePort = true;
  options.maxBody = aOptions.forwarder.limits.maxBody + kBodyReserve;
  options.readBudget = std::move(aBudget);
  options.refusal = WriteRefusal(RefusalReason::kBuffersFull);
  options.malformed = WriteRefusal(RefusalReason::kBadRequest);
  return options;
}

} // namespace

struct TrafficWorker::Impl
{
  explicit Impl(ReportHandler aReport)
    : report(std::move(aReport))
    , reportTimer(context)
  {
  }

  ~Impl()
  {
    context.stop();
    if (thread.joinable()) {
      thread.join();
    }
  }

  void ScheduleReport()
  {
    reportTimer.Arm(kReportPeriod, [this] {
      Report();
      ScheduleReport();
    });
  }

  void Stop()
  {
    server->Close();
    forwarder->Stop();
    Report();
  }

  void Report()
  {
    WorkerReport taken = forwarder->TakeReport();
    if (taken.stopped) {
      taken.unfinishedRequests = server->UnfinishedRequests();
    }
    report(std::move(taken));
  }

  ReportHandler report;
  asio::io_context context{ 1 };
  OneShotTimer reportTimer;
  std::unique_ptr<RequestForwarder> forwarder;
  std::unique_ptr<HttpServer> server;
  std::thread thread;
};

Outcome<std::unique_ptr<TrafficWorker>> TrafficWorker::Make(
  const Clock& aClock,
  const WorkerOptions& aOptions,
  ReportHandler aReport)
{
  auto impl = std::make_unique<Impl>(std::move(aReport));
  BOOST_OUTCOME_TRY(
    impl->forwarder,
    RequestForwarder::Make(impl->context, aClock, aOptions.forwarder));
  BOOST_OUTCOME_TRY(
    impl->server,
    HttpServer::Make(
      impl->context,
      ServerOptions(aOptions, impl->forwarder->Budget()),
      [forwarder = impl->forwarder.get()](
        HttpRequest aRequest, std::shared_ptr<HttpResponder> aResponder) {
        forwarder->Handle(std::move(aRequest), std::move(aResponder));
      }));
  impl->ScheduleReport();
  impl->thread = std::thread([raw = impl.get()] { RunContext(raw->context); });
  return std::unique_ptr<TrafficWorker>(new TrafficWorker(std::move(impl)));
}

TrafficWorker::TrafficWorker(std::unique_ptr<Impl> aImpl)
  : impl_(std::move(aImpl))
{
}

TrafficWorker::~TrafficWorker() = default;

std::uint16_t TrafficWorker::Port() const
{
  return impl_->server->Port();
}

void TrafficWorker::PostSnapshot(
  std::shared_ptr<const RoutingSnapshot> aSnapshot)
{
  asio::post(impl_->context,
             [impl = impl_.get(), snapshot = std::move(aSnapshot)]() mutable {
               impl->forwarder->SetSnapshot(std::move(snapshot));
             });
}

void TrafficWorker::PostGrants(GrantRound aRound,
                               std::vector<HeldGrant> aGrants)
{
  asio::post(impl_->context,
             [impl = impl_.get(), aRound, grants = std::move(aGrants)] {
               impl->forwarder->SetGrants(aRound, grants);
             });
}

void TrafficWorker::PostDrain()
{
  asio::post(impl_->context,
             [impl = impl_.get()] { impl->forwarder->CloseConnections(); });
}

void TrafficWorker::PostStop()
{
  asio::post(impl_->context, [impl = impl_.get()] { impl->Stop(); });
}

} // namespace lacewing
