#include "gateway/Gateway.h"

#include "core/CrashThread.h"
#include "core/Log.h"
#include "core/OneShotTimer.h"
#include "core/RunContext.h"
#include "gateway/CallerSession.h"
#include "gateway/TrafficState.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>

#include <algorithm>
#include <optional>
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
// How often a gateway checks after a drain's end whether all responses are
// written. Most are within the first period.
constexpr Duration kFlushCheckPeriod = std::chrono::milliseconds(10);

} // namespace

struct Gateway::Impl
{
  asio::io_context context{ 1 };
  asio::ip::tcp::acceptor acceptor;
  std::uint16_t port = 0;
  OneShotTimer cleanUp;
  OneShotTimer acceptPause;
  OneShotTimer drainTimer;
  DrainHandler onDrainEnded;
  /** When the drain ended; empty before. */
  std::optional<TimePoint> drainEndedAt;
  DrainResult drainResult;
  TrafficState state;
  std::set<std::shared_ptr<CallerSession>> sessions;
  std::thread thread;

  Impl(const Clock& aClock,
       const GatewayOptions& aOptions,
       const SnapshotCell<FleetSnapshot>& aFleet,
       const SnapshotCell<LoadSnapshot>& aLoad,
       AllowanceGate::Asker aAsker)
    : acceptor(context)
    , cleanUp(context)
    , acceptPause(context)
    , drainTimer(context)
    , state(context, aClock, aOptions, aFleet, aLoad, std::move(aAsker))
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
    port = acceptor.local_endpoint().port();
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
          acceptPause.Arm(kAcceptPause, [this] {
            if (acceptor.is_open()) {
              Accept();
            }
          });
          return;
        }
        // First, so that an exception in the rest does not end accepting.
        Accept();
        Open(std::move(aSocket));
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
    cleanUp.Arm(kCleanUpPeriod, [this] {
      ScheduleCleanUp();
      state.CleanUp();
    });
  }

  /**
   * Stops listening if no request came for aQuiet, and none is in progress, on
   * its way in or in a connection that the kernel has accepted.
   */
  bool CloseIfQuiet(Duration aQuiet)
  {
    if (!acceptor.is_open()) {
      return !drainEndedAt;
    }
    const bool accepted = AcceptPending();
    const bool busy =
      std::any_of(sessions.begin(), sessions.end(), [](const auto& aSession) {
        return aSession->Busy();
      });
    if (accepted || busy || state.Now() - state.LastRequest() < aQuiet) {
      return false;
    }
    drainTimer.Cancel();
    StopListening();
    CloseIdle();
    return true;
  }

  void StopListening()
  {
    asio::error_code ignored;
    acceptor.close(ignored);
  }

  void SetDrainEnd(TimePoint aEnd)
  {
    if (acceptor.is_open()) {
      state.SetDrainEnd(aEnd);
      drainTimer.ArmAt(aEnd, [this] { EndDrain(); });
    }
  }

  /**
   * Ends all requests with local responses. What has arrived and was not read
   * is read before, and refused because its deadline is after the drain's end.
   */
  void EndDrain()
  {
    drainEndedAt = state.Now();
    AcceptPending();
    StopListening();
    const auto open = sessions;
    for (const auto& session : open) {
      session->EndDrain();
    }
    state.Open().ReadArrived();
    // Behind the ends of the attempts whose answers were read.
    asio::post(context, [this] {
      drainResult = state.Open().EndAll();
      WaitUntilWritten();
    });
  }

  void WaitUntilWritten()
  {
    const bool ended =
      std::all_of(sessions.begin(), sessions.end(), [](const auto& aSession) {
        return aSession->Ended();
      });
    if (!ended && state.Now() < *drainEndedAt + kFlushTime) {
      drainTimer.Arm(kFlushCheckPeriod, [this] { WaitUntilWritten(); });
      return;
    }
    drainResult.unwritten = static_cast<std::size_t>(
      std::count_if(sessions.begin(), sessions.end(), [](const auto& aSession) {
        return aSession->Responding();
      }));
    if (onDrainEnded) {
      onDrainEnded(drainResult);
    }
  }

  /** Opens the connections that wait to be accepted; false without any. */
  bool AcceptPending()
  {
    acceptor.non_blocking(true);
    bool any = false;
    while (true) {
      asio::error_code error;
      asio::ip::tcp::socket socket = acceptor.accept(error);
      if (error) {
        return any;
      }
      any = true;
      Open(std::move(socket));
    }
  }

  /** Ends all requests, so that nothing refers to the state when it goes. */
  void AbortAll()
  {
    const auto open = sessions;
    for (const auto& session : open) {
      session->Close(CloseReason::kStopped);
    }
    state.Open().Clear();
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
    thread = std::thread([this] {
      const CrashThread crashThread("traffic");
      RunContext(context);
    });
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
  const SnapshotCell<LoadSnapshot>& aLoad,
  AllowanceGate::Asker aAsker)
{
  auto impl =
    std::make_unique<Impl>(aClock, aOptions, aFleet, aLoad, std::move(aAsker));
  BOOST_OUTCOME_TRYV(impl->Listen(aOptions.front));
  impl->Start();
  return std::unique_ptr<Gateway>(new Gateway(std::move(impl)));
}

Gateway::~Gateway()
{
  impl_->context.stop();
  impl_->thread.join();
  impl_->AbortAll();
}

std::uint16_t Gateway::Port() const
{
  return impl_->port;
}

void Gateway::BeginDrain(TimePoint aEnd, DrainHandler aOnEnded)
{
  asio::post(impl_->context, [this, aEnd, onEnded = std::move(aOnEnded)] {
    impl_->onDrainEnded = onEnded;
    impl_->SetDrainEnd(aEnd);
  });
}

void Gateway::SetDrainEnd(TimePoint aEnd)
{
  asio::post(impl_->context, [this, aEnd] { impl_->SetDrainEnd(aEnd); });
}

void Gateway::AnswerAsk(const AllowanceAnswer& aAnswer)
{
  asio::post(impl_->context,
             [this, aAnswer] { impl_->state.Allowances()->OnAnswer(aAnswer); });
}

void Gateway::SetRetryTerms(const RetryLimits& aTerms)
{
  asio::post(impl_->context,
             [this, aTerms] { impl_->state.SetRetryTerms(aTerms); });
}

void Gateway::SetProbeLimits(const ProbeLimits& aLimits)
{
  asio::post(impl_->context,
             [this, aLimits] { impl_->state.SetProbeLimits(aLimits); });
}

void Gateway::CloseIdle()
{
  asio::post(impl_->context, [this] { impl_->CloseIdle(); });
}

void Gateway::CloseIfQuiet(Duration aQuiet, std::function<void(bool)> aHandler)
{
  asio::post(impl_->context, [this, aQuiet, handler = std::move(aHandler)] {
    handler(impl_->CloseIfQuiet(aQuiet));
  });
}

void Gateway::ReadCounters(std::function<void(GatewayCounters)> aHandler)
{
  asio::post(impl_->context, [this, handler = std::move(aHandler)] {
    handler(impl_->state.Counters());
  });
}

void Gateway::ReadEvidence(
  std::function<void(std::vector<RolloutEvidence>)> aHandler)
{
  asio::post(impl_->context, [this, handler = std::move(aHandler)] {
    const auto fleet = impl_->state.Fleet();
    handler(impl_->state.Versions().Evidence(*fleet));
  });
}

} // namespace lacewing
