#include "support/ScriptedTarget.h"
#include "support/TestEntry.h"
#include "support/TestTarget.h"

#include <asio/post.hpp>

using namespace lacewing;

namespace {

HttpCall MakeCall(const TestEntry& aEntry, const char* aMethod)
{
  HttpCall call;
  call.endpoint = aEntry.Callers();
  call.target = "/s/x";
  call.method = aMethod;
  if (call.method == "POST") {
    call.body = std::make_shared<const std::string>("amount=5");
  }
  return call;
}

struct Seen
{
  int status;
  std::string outcome;
  int runs;
};

/** What a caller sees and how often the target ran the request. */
Seen Ask(ScriptedTarget::Script aScript, const char* aMethod)
{
  ScriptedTarget target(std::move(aScript));
  TestEntry entry(StaticSettings({ target.Address() }));
  TestCaller caller;
  const HttpCallResult result = caller.Call(MakeCall(entry, aMethod));
  return { result.response.status,
           FieldOf(result, "Lacewing-Outcome"),
           target.Runs() };
}

} // namespace

// Guards against a POST that runs twice, and against "not-run" or "ran" for
// one that may have run.
TEST_CASE("a POST without a whole answer ran at most once and is unknown")
{
  const std::vector<ScriptedTarget::Script> scripts = {
    // Closes after reading.
    [](int, const std::string&) { return std::string(); },
    // A short answer.
    [](int, const std::string&) {
      return std::string("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc") +
             ScriptedTarget::kCloseMarker;
    },
    // Half of a head.
    [](int, const std::string&) {
      return std::string("HTTP/1.1 200 OK\r\nConte") +
             ScriptedTarget::kCloseMarker;
    },
    // Half of a head that announces no body.
    [](int, const std::string&) {
      return std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Fie") +
             ScriptedTarget::kCloseMarker;
    },
    // A head without its empty line, of an answer without a body.
    [](int, const std::string&) {
      return std::string("HTTP/1.1 204 No Content\r\n") +
             ScriptedTarget::kCloseMarker;
    },
    // A body that ends with the connection, whose end may be missing.
    [](int, const std::string&) {
      return std::string("HTTP/1.1 200 OK\r\n\r\nabc") +
             ScriptedTarget::kCloseMarker;
    },
    // A chunked body without its last chunk.
    [](int, const std::string&) {
      return std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                         "\r\n3\r\nabc\r\n") +
             ScriptedTarget::kCloseMarker;
    },
    // No HTTP at all.
    [](int, const std::string&) {
      return std::string("HELLO\r\n\r\n") + ScriptedTarget::kCloseMarker;
    },
    // Only an interim answer.
    [](int, const std::string&) {
      return std::string("HTTP/1.1 100 Continue\r\n\r\n") +
             ScriptedTarget::kCloseMarker;
    },
    // Two lengths that contradict each other.
    [](int, const std::string&) {
      return std::string("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"
                         "Content-Length: 5\r\n\r\nabc") +
             ScriptedTarget::kCloseMarker;
    },
  };
  for (std::size_t i = 0; i < scripts.size(); ++i) {
    CAPTURE(i);
    const Seen seen = Ask(scripts[i], "POST");
    CHECK(seen.status == 502);
    CHECK(seen.outcome == "unknown");
    CHECK(seen.runs == 1);
  }
}

// Guards against a POST that libcurl or the engine repeats when the target
// closes a kept connection after reading.
TEST_CASE("a POST on a kept connection that closes runs once")
{
  ScriptedTarget target([](int aRun, const std::string&) {
    return aRun == 2 ? std::string() : OkResponse("ok");
  });
  TestEntry entry(StaticSettings({ target.Address() }));
  TestCaller caller;
  CHECK(caller.Call(MakeCall(entry, "POST")).response.status == 200);
  const HttpCallResult lost = caller.Call(MakeCall(entry, "POST"));
  CHECK(lost.response.status == 502);
  CHECK(FieldOf(lost, "Lacewing-Outcome") == "unknown");
  CHECK(target.Runs() == 2);
}

// Guards against the same fault for a body that libcurl sends in parts and
// would have to rewind.
TEST_CASE("a large POST on a kept connection that closes runs once")
{
  ScriptedTarget target([](int aRun, const std::string&) {
    return aRun == 2 ? std::string() : OkResponse("ok");
  });
  TestEntry entry(StaticSettings({ target.Address() }));
  TestCaller caller;
  CHECK(caller.Call(MakeCall(entry, "POST")).response.status == 200);
  HttpCall large = MakeCall(entry, "POST");
  large.body = std::make_shared<const std::string>(500000, 'a');
  CHECK(FieldOf(caller.Call(large), "Lacewing-Outcome") == "unknown");
  CHECK(target.Runs() == 2);
}

// Guards against "not-run" without proof: only Target-Not-Run on a 503 is
// proof, and only then a POST is repeated.
TEST_CASE("a POST is repeated on proof only")
{
  const Seen unproved = Ask(
    [](int, const std::string&) {
      return std::string("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    },
    "POST");
  CHECK(unproved.status == 503);
  CHECK(unproved.outcome == "ran");
  CHECK(unproved.runs == 1);
  const Seen wrongStatus = Ask(
    [](int, const std::string&) {
      return std::string("HTTP/1.1 500 Error\r\nTarget-Not-Run: 1\r\n"
                         "Content-Length: 0\r\n\r\n");
    },
    "POST");
  CHECK(wrongStatus.status == 500);
  CHECK(wrongStatus.outcome == "ran");
  CHECK(wrongStatus.runs == 1);
  const Seen proved = Ask(
    [](int aRun, const std::string&) {
      return aRun == 1
               ? std::string("HTTP/1.1 503 Busy\r\nTarget-Not-Run: 1\r\n"
                             "Content-Length: 0\r\n\r\n")
               : OkResponse("ok");
    },
    "POST");
  CHECK(proved.status == 200);
  CHECK(proved.runs == 2);
}

// Guards against memory that a target's answer can take without bound.
TEST_CASE("an answer beyond the limit ends as unknown")
{
  TestTarget target(
    [](const HttpRequest&, const std::shared_ptr<HttpResponder>& aTo) {
      HttpResponse response;
      response.body.assign(300000, 'a');
      aTo->Send(std::move(response));
    });
  EntrySettings settings = StaticSettings({ target.Address() });
  settings.limits.maxAnswer = ByteCount(200000);
  TestEntry entry(settings);
  TestCaller caller;
  const HttpCallResult result = caller.Call(MakeCall(entry, "POST"));
  CHECK(result.response.status == 502);
  CHECK(FieldOf(result, "Lacewing-Outcome") == "unknown");
  CHECK(FieldOf(result, "Lacewing-Reason") == "answer-too-large");
  CHECK(target.Runs() == 1);
}

// Guards against an answer that reaches the caller of another request: late
// answers, cancelled and timed-out requests come before it on the same
// connections.
TEST_CASE("each answer belongs to its own request")
{
  std::unique_ptr<TestTarget> target;
  // Every third answer comes after its request's deadline of 60 ms.
  target = std::make_unique<TestTarget>(
    [&](HttpRequest aRequest, std::shared_ptr<HttpResponder> aTo) {
      HttpResponse response;
      response.body = aRequest.target + aRequest.body;
      const int number = std::stoi(aRequest.target.substr(1));
      auto timer = std::make_shared<asio::steady_timer>(
        target->Context(),
        std::chrono::milliseconds(number % 3 == 0 ? 120 : number % 7));
      timer->async_wait([timer, to = std::move(aTo), response](
                          const asio::error_code&) { to->Send(response); });
    });
  TestEntry entry(StaticSettings({ target->Address() }));
  TestCaller caller;
  int open = 0;
  int right = 0;
  int wrong = 0;
  int other = 0;
  constexpr int kRequests = 400;
  for (int i = 0; i < kRequests; ++i) {
    HttpCall call = MakeCall(entry, i % 2 == 0 ? "POST" : "GET");
    call.target = "/s/" + std::to_string(i);
    std::string expected = "/" + std::to_string(i);
    if (call.body) {
      call.body = std::make_shared<const std::string>("b" + expected);
      expected += *call.body;
    }
    call.fields.Add("Lacewing-Deadline-Ms", "60");
    ++open;
    const auto ended = std::make_shared<bool>(false);
    const HttpCallId id = caller.Client().Start(
      std::move(call), [&, expected, ended](const HttpCallResult& aResult) {
        *ended = true;
        --open;
        if (aResult.response.status != 200) {
          ++other;
        } else {
          ++(aResult.response.body == expected ? right : wrong);
        }
      });
    if (i % 5 == 0) {
      // The caller hangs up while the request is on its way.
      caller.Context().restart();
      caller.Context().run_for(std::chrono::milliseconds(2));
      caller.Client().Cancel(id);
      open -= *ended ? 0 : 1;
    }
  }
  for (int i = 0; i < 500 && open > 0; ++i) {
    caller.Context().restart();
    caller.Context().run_for(std::chrono::milliseconds(10));
  }
  CHECK(open == 0);
  CHECK(wrong == 0);
  CHECK(right > kRequests / 4);
  CHECK(other > 0);
}

// Guards against a second answer of a target that reaches the next request on
// its connection: 150 of 150 did when the answer's id was not compared.
TEST_CASE("a target's late second answer reaches no other request")
{
  ScriptedTarget target([](int aRun, const std::string& aRequest) {
    const std::string body = "run " + std::to_string(aRun);
    const std::string fields = ScriptedTarget::RequestIdLine(aRequest);
    return OkResponse(body, fields) + ScriptedTarget::kDelayMarker +
           OkResponse(body + " again", fields);
  });
  TestEntry entry(StaticSettings({ target.Address() }));
  TestCaller caller;
  for (int i = 0; i < 30; ++i) {
    const HttpCallResult result =
      caller.Call(MakeCall(entry, i % 2 == 0 ? "POST" : "GET"));
    CHECK(result.response.body.find("again") == std::string::npos);
    if (result.response.status != 200) {
      CHECK(FieldOf(result, "Lacewing-Outcome") == "unknown");
    }
  }
}

// Guards against an answer whose request cannot be told.
TEST_CASE("an answer without the request's id is not passed on")
{
  for (const char* id : { "other", "" }) {
    CAPTURE(id);
    const Seen seen = Ask(
      [id](int, const std::string&) {
        return OkResponse("of another",
                          std::string("Lacewing-Request-Id: ") + id + "\r\n");
      },
      "POST");
    CHECK(seen.status == 502);
    CHECK(seen.outcome == "unknown");
    CHECK(seen.runs == 1);
  }
}

// Guards against taking a target's earlier refusal, written once more, for the
// refusal of the second attempt, which runs: the request would run again.
TEST_CASE("a refusal of the first attempt never ends the second one")
{
  std::string refusal;
  const Seen seen = Ask(
    [&refusal](int aRun, const std::string& aRequest) {
      const std::string id = ScriptedTarget::RequestIdLine(aRequest);
      if (aRun == 1) {
        refusal = "HTTP/1.1 503 Busy\r\nTarget-Not-Run: 1\r\n"
                  "Content-Length: 0\r\n" +
                  id + "\r\n";
        return refusal;
      }
      return (aRun == 2 ? refusal + ScriptedTarget::kDelayMarker : "") +
             OkResponse("ok", id);
    },
    "POST");
  CHECK(seen.runs == 2);
  CHECK(seen.outcome == "unknown");
}

// Guards against a caller's close that leaves its request running.
TEST_CASE("the caller's close cancels the attempt at the target")
{
  std::atomic<bool> gone{ false };
  std::atomic<bool> arrived{ false };
  std::shared_ptr<HttpResponder> held;
  TestTarget target(
    [&](const HttpRequest&, std::shared_ptr<HttpResponder> aTo) {
      held = std::move(aTo);
      held->OnGone([&] { gone = true; });
      arrived = true;
    });
  TestEntry entry(StaticSettings({ target.Address() }));
  TestCaller caller;
  const HttpCallId id =
    caller.Client().Start(MakeCall(entry, "POST"), [](HttpCallResult) {});
  for (int i = 0; i < 200 && !arrived; ++i) {
    caller.Context().restart();
    caller.Context().run_for(std::chrono::milliseconds(10));
  }
  caller.Client().Cancel(id);
  for (int i = 0; i < 200 && !gone; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  CHECK(gone);
  asio::post(target.Context(), [&] { held.reset(); });
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
}

// Guards against a planned stop that cuts off requests in progress (I8), and
// against work that is accepted after it.
TEST_CASE("a graceful stop answers every open request")
{
  constexpr int kRequests = 20;
  std::vector<std::shared_ptr<HttpResponder>> held;
  std::atomic<int> arrived{ 0 };
  TestTarget target(
    [&](const HttpRequest&, std::shared_ptr<HttpResponder> aTo) {
      held.push_back(std::move(aTo));
      ++arrived;
    });
  EntrySettings settings = StaticSettings({ target.Address() });
  settings.workers = 2;
  settings.drainDelay = std::chrono::milliseconds(100);
  TestEntry entry(settings);
  TestCaller caller;
  int whole = 0;
  int done = 0;
  for (int i = 0; i < kRequests; ++i) {
    caller.Client().Start(
      MakeCall(entry, "POST"), [&](const HttpCallResult& aResult) {
        ++done;
        whole += aResult.response.status == 200 &&
                     aResult.response.body.size() == 2U << 20U
                   ? 1
                   : 0;
      });
  }
  const auto run = [&](std::chrono::milliseconds aFor) {
    caller.Context().restart();
    caller.Context().run_for(aFor);
  };
  // All requests are open at the target when the stop begins.
  for (int i = 0; i < 200 && arrived < kRequests; ++i) {
    run(std::chrono::milliseconds(10));
  }
  REQUIRE(arrived == kRequests);
  entry.BeginStop();
  run(std::chrono::milliseconds(250));
  CHECK(done == 0);
  asio::post(target.Context(), [&held] {
    for (const auto& responder : held) {
      HttpResponse response;
      response.body.assign(2U << 20U, 'r');
      responder->Send(std::move(response));
    }
    held.clear();
  });
  for (int i = 0; i < 500 && done < kRequests; ++i) {
    run(std::chrono::milliseconds(10));
  }
  CHECK(whole == kRequests);
  CHECK(target.Runs() == kRequests);
  CHECK(entry.Stop());
}
