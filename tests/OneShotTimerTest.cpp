#include "core/OneShotTimer.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <doctest/doctest.h>

#include <memory>
#include <thread>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

/** Runs the handlers of timers that expire within 5 ms in a single step. */
void RunLate(asio::io_context& aContext)
{
  asio::post(aContext, [] { std::this_thread::sleep_for(5ms); });
  aContext.run();
}

} // namespace

// Guards against a handler that runs after its timer was cancelled, because it
// was queued already.
TEST_CASE("timer: a queued handler does not run after its cancellation")
{
  asio::io_context context(1);
  OneShotTimer canceller(context);
  OneShotTimer timer(context);
  int runs = 0;
  // Both expire in one step; the first one's handler cancels the second.
  canceller.Arm(1ms, [&] { timer.Cancel(); });
  timer.Arm(2ms, [&] { ++runs; });
  RunLate(context);
  CHECK(runs == 0);
}

// Guards against an old handler that acts in place of the one armed later.
TEST_CASE("timer: a queued handler does not run once the timer is armed again")
{
  asio::io_context context(1);
  OneShotTimer first(context);
  OneShotTimer timer(context);
  int outdated = 0;
  int current = 0;
  first.Arm(1ms, [&] { timer.Arm(1ms, [&] { ++current; }); });
  timer.Arm(2ms, [&] { ++outdated; });
  RunLate(context);
  CHECK(outdated == 0);
  CHECK(current == 1);
}

// Guards against a handler that uses an owner which is gone.
TEST_CASE("timer: a queued handler does not run after the timer's end")
{
  asio::io_context context(1);
  OneShotTimer first(context);
  auto timer = std::make_unique<OneShotTimer>(context);
  int runs = 0;
  first.Arm(1ms, [&] { timer.reset(); });
  timer->Arm(2ms, [&] { ++runs; });
  RunLate(context);
  CHECK(runs == 0);
}

// Guards against a handler that cannot arm its own timer again.
TEST_CASE("timer: a handler may arm its timer again")
{
  asio::io_context context(1);
  OneShotTimer timer(context);
  int runs = 0;
  timer.Arm(1ms, [&] {
    ++runs;
    timer.ArmAt(std::chrono::steady_clock::now(), [&] { ++runs; });
  });
  context.run();
  CHECK(runs == 2);
}

// Guards against a timeout that acts although the event which it waits for
// came first and its handler is queued.
TEST_CASE("timer: events of the same step are handled before the expiry")
{
  asio::io_context context(1);
  asio::steady_timer event(context, 1ms);
  OneShotTimer timer(context);
  int runs = 0;
  event.async_wait([&](const asio::error_code&) {
    asio::post(context, [&] { timer.Cancel(); });
  });
  timer.Arm(2ms, [&] { ++runs; });
  RunLate(context);
  CHECK(runs == 0);
}

// Guards against a wait without an owner that is lost or runs twice.
TEST_CASE("timer: a wait without an owner runs its handler once")
{
  asio::io_context context(1);
  int runs = 0;
  const auto begin = std::chrono::steady_clock::now();
  OneShotTimer::RunAfter(context, 5ms, [&] { ++runs; });
  context.run();
  CHECK(runs == 1);
  CHECK(std::chrono::steady_clock::now() - begin >= 5ms);
}

// Guards against a handler that outlives the io_context which it waits in.
TEST_CASE("timer: a wait without an owner ends with its io_context")
{
  const auto held = std::make_shared<int>(0);
  {
    asio::io_context context(1);
    OneShotTimer::RunAfter(context, 1h, [held] { ++*held; });
    CHECK(held.use_count() == 2);
  }
  CHECK(held.use_count() == 1);
  CHECK(*held == 0);
}
