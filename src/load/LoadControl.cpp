#include "load/LoadControl.h"

#include "core/Log.h"
#include "core/MonotonicClock.h"
#include "core/OneShotTimer.h"

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>

#include <utility>

namespace lacewing {

namespace {

constexpr std::chrono::milliseconds kEventTimeout{ 5000 };
constexpr std::chrono::milliseconds kReadyTimeout{ 1000 };

} // namespace

LoadControl::LoadControl(
  std::shared_ptr<const LoadExperiment> aExperiment,
  const std::vector<std::unique_ptr<LoadWorker>>& aWorkers,
  TimePoint aStart)
  : experiment_(std::move(aExperiment))
  , workers_(aWorkers)
  , start_(aStart)
  , client_(context_, {})
{
}

void LoadControl::Run()
{
  for (const TimelineEvent& event : experiment_->timeline) {
    ScheduleEvent(event);
  }
  for (std::size_t i = 0; i < experiment_->entries.size(); ++i) {
    if (experiment_->entries[i].ready.port != 0) {
      PollReady(i);
    }
  }
  const auto guard = asio::make_work_guard(context_);
  context_.run();
}

void LoadControl::Stop()
{
  asio::post(context_, [this] { context_.stop(); });
}

void LoadControl::ScheduleEvent(const TimelineEvent& aEvent)
{
  OneShotTimer::RunAfter(context_,
                         start_ + aEvent.at - MonotonicClock().Now(),
                         [this, &aEvent] { SendEvent(aEvent); });
}

void LoadControl::SendEvent(const TimelineEvent& aEvent)
{
  HttpCall call;
  call.endpoint = aEvent.endpoint;
  call.method = aEvent.method;
  call.target = aEvent.target;
  call.body = std::make_shared<const std::string>(aEvent.body);
  call.timeout = kEventTimeout;
  client_.Start(
    std::move(call), [this, &aEvent](const HttpCallResult& aResult) {
      const int status =
        aResult.end == HttpCallEnd::kAnswered ? aResult.response.status : 0;
      timeline_.push_back(
        { { "at_ms",
            std::chrono::duration<double, std::milli>(aEvent.at).count() },
          { "address", aEvent.endpoint.ToString() },
          { "path", aEvent.target },
          { "body", aEvent.body },
          { "status", status } });
      Log(status / 100 == 2 ? LogLevel::kInfo : LogLevel::kWarning,
          "timeline",
          { { "address", aEvent.endpoint.ToString() },
            { "path", aEvent.target },
            { "status", std::to_string(status) } });
    });
}

void LoadControl::PollReady(std::size_t aEntry)
{
  HttpCall call;
  call.endpoint = experiment_->entries[aEntry].ready;
  call.target = "/ready";
  call.timeout = kReadyTimeout;
  call.idempotent = true;
  client_.Start(std::move(call), [this, aEntry](const HttpCallResult& aResult) {
    const bool ready =
      aResult.end == HttpCallEnd::kAnswered && aResult.response.status == 200;
    for (const auto& worker : workers_) {
      worker->SetReady(aEntry, ready);
    }
    OneShotTimer::RunAfter(context_,
                           experiment_->settings.readyPoll,
                           [this, aEntry] { PollReady(aEntry); });
  });
}

} // namespace lacewing
