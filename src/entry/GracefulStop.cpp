#include "entry/GracefulStop.h"

#include "core/Log.h"

#include <algorithm>

namespace lacewing {

namespace {

// Half of the workers' report period, so that their last report is seen
// without delay.
constexpr std::chrono::milliseconds kPollPeriod(50);

// Idle grants go back after 300 ms, with the control thread's tick.
constexpr std::chrono::milliseconds kGrantReserve(1000);

// Answers that were made at the deadline still have to be written.
constexpr std::chrono::milliseconds kWriteReserve(2000);

} // namespace

GracefulStop::GracefulStop(asio::io_context& aContext,
                           const Clock& aClock,
                           EntryControl& aControl,
                           std::chrono::milliseconds aDrainDelay)
  : context_(aContext)
  , clock_(aClock)
  , control_(aControl)
  , drainDelay_(aDrainDelay)
  , timer_(aContext)
{
}

void GracefulStop::Begin()
{
  if (begun_) {
    return;
  }
  begun_ = true;
  Log(LogLevel::kInfo, "stop-begun");
  control_.Drain();
  timer_.Arm(drainDelay_, [this] { AfterDrain(); });
}

void GracefulStop::AfterDrain()
{
  control_.Stop();
  giveUp_ = clock_.Now() + control_.LongestDeadline() + kWriteReserve;
  Poll();
}

void GracefulStop::Poll()
{
  const TimePoint now = clock_.Now();
  if (!allAnswered_ && control_.Idle()) {
    allAnswered_ = true;
    giveUp_ = std::min<TimePoint>(giveUp_, now + kGrantReserve);
  }
  if ((allAnswered_ && control_.GrantsReturned()) || now >= giveUp_) {
    Log(allAnswered_ ? LogLevel::kInfo : LogLevel::kWarning,
        "stop-ended",
        { { "all_answered", allAnswered_ ? "yes" : "no" } });
    context_.stop();
    return;
  }
  timer_.Arm(kPollPeriod, [this] { Poll(); });
}

} // namespace lacewing
