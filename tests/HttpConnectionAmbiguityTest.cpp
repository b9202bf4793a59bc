#include "core/MonotonicClock.h"
#include "http/HttpConnection.h"
#include "support/ScriptedTarget.h"

#include <doctest/doctest.h>

#include <optional>
#include <thread>

using namespace lacewing;

namespace {

/** One connection to a target that answers as a script says. */
class Exchanges
{
public:
  explicit Exchanges(ScriptedTarget::Script aScript)
    : target_(std::move(aScript))
    , connection_(context_, Options(target_), clock_)
  {
  }

  /** Sends a request; a failure is assigned to it by its place. */
  ExchangeResult Run()
  {
    OutgoingRequest request;
    request.head.method = "POST";
    request.head.target = "/";
    request.match = [](const HttpHead& aHead) {
      return aHead.status < 300 ? AnswerMatch::kCertain
                                : AnswerMatch::kByPosition;
    };
    std::optional<ExchangeResult> result;
    connection_.Send(std::move(request), [&](ExchangeResult aResult) {
      result = std::move(aResult);
      context_.stop();
    });
    context_.restart();
    context_.run();
    REQUIRE(result);
    return *std::move(result);
  }

  HttpConnection& Connection() { return connection_; }

private:
  static ConnectionOptions Options(const ScriptedTarget& aTarget)
  {
    ConnectionOptions options;
    options.endpoint = aTarget.Address();
    return options;
  }

  ScriptedTarget target_;
  asio::io_context context_;
  MonotonicClock clock_;
  HttpConnection connection_;
};

constexpr const char* kRefusal =
  "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

} // namespace

// Guards against proof from a second answer that only its place assigns: it may
// be the first one again.
TEST_CASE("http connection: only the first answer by place is identified")
{
  Exchanges exchanges([](int aRun, const std::string&) {
    return aRun == 1 ? OkResponse("") : std::string(kRefusal);
  });
  CHECK(exchanges.Run().identified);
  CHECK(exchanges.Connection().Unambiguous());
  CHECK(exchanges.Run().identified);
  CHECK(!exchanges.Connection().Unambiguous());
  CHECK(exchanges.Connection().Reusable());
  const ExchangeResult again = exchanges.Run();
  CHECK_FALSE(again.identified);
  CHECK(again.end == ExchangeEnd::kAnswered);
  CHECK(again.detail == "may be the answer to another request");
}

// Guards against a request that follows bytes or a close which arrived before
// it and which a busy thread has not read yet.
TEST_CASE(
  "http connection: unread bytes and a close are noticed before sending")
{
  const std::string quiet;
  for (const std::string& rest :
       { quiet,
         std::string(kRefusal),
         std::string(ScriptedTarget::kCloseMarker) }) {
    CAPTURE(rest);
    Exchanges exchanges([&rest](int, const std::string&) {
      return OkResponse("") + ScriptedTarget::kDelayMarker + rest;
    });
    CHECK(exchanges.Run().identified);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    CHECK(exchanges.Connection().Quiet() == rest.empty());
  }
}
