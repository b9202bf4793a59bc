#include "http/HttpCaller.h"
#include "core/MonotonicClock.h"
#include "support/BusyThread.h"
#include "support/RunUntil.h"
#include "support/ScriptedTarget.h"

#include <asio/steady_timer.hpp>
#include <doctest/doctest.h>

#include <optional>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

constexpr auto kTimeout = 300ms;
// The thread is busy for longer than the timeout.
constexpr auto kBusy = 400ms;
// More than a connection reads in one step, less than the kernel holds.
constexpr std::size_t kLargeBody = 48U << 10U;

/** A server and a caller whose connection to it is open. */
struct Fixture
{
  explicit Fixture(std::string aBody = "ok")
    : server([body = std::move(aBody)](int, const std::string&) {
      // The calling thread is busy by then.
      std::this_thread::sleep_for(20ms);
      return OkResponse(body);
    })
    , caller(context, Options(server), clock)
  {
    Call("/first");
    REQUIRE(RunUntil(context, [this] { return result.has_value(); }));
    result.reset();
  }

  static ConnectionOptions Options(const ScriptedTarget& aServer)
  {
    ConnectionOptions options;
    options.endpoint = aServer.Address();
    return options;
  }

  void Call(const std::string& aPath, HttpCaller::Handler aHandler)
  {
    HttpMessage request;
    request.head.method = "GET";
    request.head.target = aPath;
    caller.Call(std::move(request), kTimeout, std::move(aHandler));
  }

  void Call(const std::string& aPath)
  {
    Call(aPath, [this](ExchangeResult aResult) { result = aResult; });
  }

  asio::io_context context{ 1 };
  MonotonicClock clock;
  ScriptedTarget server;
  HttpCaller caller;
  std::optional<ExchangeResult> result;
};

} // namespace

// Guards against taking a server for unresponsive because the own thread was
// busy while the answer waited to be read.
TEST_CASE("http caller: an answer that has arrived is delivered at the timeout")
{
  Fixture fix;
  fix.Call("/second");
  KeepBusy(fix.context, kBusy);
  REQUIRE(RunUntil(fix.context, [&] { return fix.result.has_value(); }));
  CHECK(fix.result->end == ExchangeEnd::kAnswered);
}

// Guards against the same for an answer that takes several reads.
TEST_CASE("http caller: a large answer that has arrived is read at the timeout")
{
  Fixture fix(std::string(kLargeBody, 'x'));
  fix.Call("/second");
  KeepBusy(fix.context, kBusy);
  REQUIRE(RunUntil(fix.context, [&] { return fix.result.has_value(); }));
  CHECK(fix.result->end == ExchangeEnd::kAnswered);
  CHECK(fix.result->answer.body.size() == kLargeBody);
}

// Guards against ending a call at the timeout of the call before it.
TEST_CASE("http caller: the timeout of an ended call does not end the next one")
{
  Fixture fix;
  bool firstAnswered = false;
  // Expires in the step that reads the answer; its handler runs behind the
  // read and ahead of the call's end.
  asio::steady_timer busy(fix.context, 50ms);
  busy.async_wait(
    [](const asio::error_code&) { std::this_thread::sleep_for(kBusy); });
  fix.Call("/second", [&](const ExchangeResult& aResult) {
    firstAnswered = aResult.end == ExchangeEnd::kAnswered;
    fix.Call("/third");
  });
  KeepBusy(fix.context, 100ms);
  REQUIRE(RunUntil(fix.context, [&] { return fix.result.has_value(); }));
  CHECK(firstAnswered);
  CHECK(fix.result->end == ExchangeEnd::kAnswered);
}

// Guards against giving up a connection that opened in time while the thread
// was busy.
TEST_CASE("http caller: a connection that opened in time is used")
{
  asio::io_context context(1);
  const MonotonicClock clock;
  const ScriptedTarget server(
    [](int, const std::string&) { return OkResponse("ok"); });
  ConnectionOptions options = Fixture::Options(server);
  options.connectTimeout = 100ms;
  HttpCaller caller(context, options, clock);
  std::optional<ExchangeResult> result;
  caller.Call(HttpMessage(), 2 * kBusy, [&](ExchangeResult aResult) {
    result = std::move(aResult);
  });
  KeepBusy(context, 200ms);
  REQUIRE(RunUntil(context, [&] { return result.has_value(); }));
  CHECK(result->end == ExchangeEnd::kAnswered);
}

// Guards against calls that wait for a silent server without end.
TEST_CASE("http caller: a call without an answer ends at its timeout")
{
  asio::io_context context(1);
  const MonotonicClock clock;
  const ScriptedTarget server([](int, const std::string&) {
    std::this_thread::sleep_for(2 * kTimeout);
    return std::string();
  });
  HttpCaller caller(context, Fixture::Options(server), clock);
  std::optional<ExchangeResult> result;
  const auto begin = std::chrono::steady_clock::now();
  caller.Call(HttpMessage(), kTimeout, [&](ExchangeResult aResult) {
    result = std::move(aResult);
  });
  REQUIRE(RunUntil(context, [&] { return result.has_value(); }));
  CHECK(result->end == ExchangeEnd::kLost);
  CHECK(std::chrono::steady_clock::now() - begin >= kTimeout);
  CHECK(std::chrono::steady_clock::now() - begin < 2 * kTimeout);
}
