#include "gateway/Gateway.h"

#include "core/Log.h"
#include "gateway/CallerSession.h"
#include "gateway/TrafficState.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <set>
#include <thread>
#include <utility>

namespace lacewing {

namespace {

// How often idle connections and views of removed targets are dropped.
constexpr Duration kCleanUpPeriod = std::chrono::seconds(1);
// Delay after a failed accept, as when no file descriptors are left.
constexpr Duration kAcceptPause = std::chrono::milliseconds(100);
constexpr int kBacklog = 1024;

} // namespace

struct Gateway::Impl
{
  asio::io_context context{ 1 };
  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer cleanUp;
  asio::steady_timer acceptPause;
  TrafficState state;
  std::set<std::shared_ptr<CallerSession>> sessions;
  std::thread thread;

  Impl(const Clock& aClock,
       const GatewayOptions& aOptions,
       const SnapshotCell<FleetSnapshot>& aFleet,
       const SnapshotCell<LoadSnapshot>& aLoad)
    : acceptor(context)
    , cleanUp(context)
    , acceptPause(context)
    , state(context, aClock, aOptions, aFleet, aLoad)
  {
  }

  Outcome<void> Listen(const Endpoint& aFront)
  {
    asio::error_code error;
    const asio::ip::tcp::endpoint endpoint(
      asio::ip::make_address(aFront.address, error), aFront.port);
    if (!error) {
      acceptor.open(endpoint.protocol(), error);
    }
    if (!error) {
      acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
      acceptor.bind(endpoint, error);
    }
    if (!error) {
      acceptor.listen(kBacklog, error);
    }
    if (error) {
      return Fail(ErrorKind::kUnavailable,
                  "cannot listen on " + aFront.ToString() + ": " +
                    error.message(),
                  "check that the address is this host's and free");
    }
    return outcome::success();
  }

  void Accept()
  {
    acceptor.async_accept(
      [this](const asio::error_code& aError, asio::ip::tcp::socket aSocket) {
        if (aError == asio::error::operation_aborted) {
          return;
        }
        if (aError) {
          Log(LogLevel::kWarning, "accept", { { "error", aError.message() } });
          acceptPause.expires_after(kAcceptPause);
          acceptPause.async_wait([this](const asio::error_code& aWaitError) {
            if (!aWaitError) {
              Accept();
            }
          });
          return;
        }
        Open(std::move(aSocket));
        Accept();
      });
  }

  void Open(asio::ip::tcp::socket aSocket)
  {
    const auto session = std::make_shared<CallerSession>(
      state, std::move(aSocket), [this](CallerSession* aSession) {
        sessions.erase(aSession->shared_from_this());
      });
    sessions.insert(session);
    session->Start();
  }

  void ScheduleCleanUp()
  {
    cleanUp.expires_after(kCleanUpPeriod);
    cleanUp.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        state.CleanUp();
        ScheduleCleanUp();
      }
    });
  }

  GatewayActivity Activity() const
  {
    GatewayActivity activity;
    activity.lastRequest = state.LastRequest();
    for (const auto& session : sessions) {
      activity.busy += session->Busy() ? 1 : 0;
    }
    return activity;
  }

  void CloseIdle()
  {
    const auto open = sessions;
    for (const auto& session : open) {
      session->CloseIfIdle();
    }
  }

  void Start()
  {
    Accept();
    ScheduleCleanUp();
    thread = std::thread([this] { context.run(); });
  }
};

Gateway::Gateway(std::unique_ptr<Impl> aImpl)
  : impl_(std::move(aImpl))
{
}

Outcome<std::unique_ptr<Gateway>> Gateway::Make(
  const Clock& aClock,
  const GatewayOptions& aOptions,
  const SnapshotCell<FleetSnapshot>& aFleet,
  const SnapshotCell<LoadSnapshot>& aLoad)
{
  auto impl = std::make_unique<Impl>(aClock, aOptions, aFleet, aLoad);
  BOOST_OUTCOME_TRYV(impl->Listen(aOptions.front));
  impl->Start();
  return std::unique_ptr<Gateway>(new Gateway(std::move(impl)));
}

Gateway::~Gateway()
{
  impl_->context.stop();
  impl_->thread.join();
}

std::uint16_t Gateway::Port() const
{
  return impl_->acceptor.local_endpoint().port();
}

void Gateway::BeginDrain(TimePoint aEnd)
{
  asio::post(impl_->context, [this, aEnd] { impl_->state.BeginDrain(aEnd); });
}

void Gateway::SetRetryTerms(const RetryLimits& aTerms)
{
  asio::post(impl_->context,
             [this, aTerms] { impl_->state.SetRetryTerms(aTerms); });
}

void Gateway::CloseIdle()
{
  asio::post(impl_->context, [this] { impl_->CloseIdle(); });
}

void Gateway::ReadActivity(std::function<void(GatewayActivity)> aHandler)
{
  asio::post(impl_->context, [this, handler = std::move(aHandler)] {
    handler(impl_->Activity());
  });
}

void Gateway::ReadCounters(std::function<void(GatewayCounters)> aHandler)
{
  asio::post(impl_->context, [this, handler = std::move(aHandler)] {
    handler(impl_->state.Counters());
  });
}

} // namespace lacewing
