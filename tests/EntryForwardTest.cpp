#include "support/TestEntry.h"
#include "support/TestTarget.h"

using namespace lacewing;

namespace {

/** Answers with what it received. */
void Echo(HttpRequest aRequest, const std::shared_ptr<HttpResponder>& aTo)
{
  HttpResponse response;
  response.status = 207;
  response.fields.Add("Target-Instance", "i1");
  response.fields.Add("X-Seen", aRequest.method + " " + aRequest.target);
  for (const HttpField& field : aRequest.fields) {
    response.fields.Add("Seen-" + field.name, field.value);
  }
  response.body = std::move(aRequest.body);
  aTo->Send(std::move(response));
}

} // namespace

// Guards against a method, path, body, field or status that changes on the
// way, and against hop-by-hop fields that pass through.
TEST_CASE("a request and its answer pass unchanged but for the hop's fields")
{
  TestTarget target(&Echo);
  TestEntry entry(StaticSettings({ target.Address() }));
  TestCaller caller;
  HttpCall call;
  call.endpoint = entry.Callers();
  call.method = "PATCH";
  call.target = "/s/a%2Fb/../c?x=1&y=%20";
  call.body = std::make_shared<const std::string>(3U << 20U, 'k');
  call.fields.Add("Lacewing-Deadline-Ms", "1500");
  call.fields.Add("Connection", "X-Named");
  call.fields.Add("X-Named", "1");
  call.fields.Add("X-Kept", "2");
  const HttpCallResult result = caller.Call(call);
  REQUIRE(result.end == HttpCallEnd::kAnswered);
  CHECK(result.response.status == 207);
  CHECK(FieldOf(result, "X-Seen") == "PATCH /a%2Fb/../c?x=1&y=%20");
  CHECK(FieldOf(result, "Seen-X-Kept") == "2");
  CHECK(FieldOf(result, "Seen-X-Named") == "-");
  CHECK(FieldOf(result, "Target-Instance") == "i1");
  CHECK(FieldOf(result, "Lacewing-Outcome") == "ran");
  CHECK(FieldOf(result, "Lacewing-Reason") == "answered");
  const int remaining = std::stoi(FieldOf(result, "Seen-Lacewing-Deadline-Ms"));
  CHECK(remaining > 0);
  CHECK(remaining <= 1500);
  CHECK(FieldOf(result, "Seen-Lacewing-Request-Id") != "-");
  CHECK((result.response.body == *call.body));
}

// Guards against refusals without proof and against wrong statuses.
TEST_CASE("bad input is refused as not run with the status of the table")
{
  TestTarget target(&Echo);
  EntrySettings settings = StaticSettings({ target.Address() });
  settings.limits.maxBody = ByteCount(1000);
  TestEntry entry(settings);
  TestCaller caller;
  const auto status = [&](HttpCall aCall) {
    aCall.endpoint = entry.Callers();
    const HttpCallResult result = caller.Call(std::move(aCall));
    CHECK(FieldOf(result, "Lacewing-Outcome") == "not-run");
    return result.response.status;
  };
  HttpCall unknown;
  unknown.target = "/other/x";
  CHECK(status(unknown) == 404);
  HttpCall nameless;
  CHECK(status(nameless) == 400);
  HttpCall badDeadline;
  badDeadline.target = "/s/";
  badDeadline.fields.Add("Lacewing-Deadline-Ms", "soon");
  CHECK(status(badDeadline) == 400);
  HttpCall late;
  late.target = "/s/";
  late.fields.Add("Lacewing-Deadline-Ms", "0");
  CHECK(status(late) == 504);
  HttpCall large;
  large.target = "/s/";
  large.method = "POST";
  large.body = std::make_shared<const std::string>(1001, 'x');
  CHECK(status(large) == 413);
  HttpCall wide;
  wide.target = "/s/";
  for (int i = 0; i < 6; ++i) {
    wide.fields.Add("X-" + std::to_string(i), std::string(6000, 'v'));
  }
  CHECK(status(wide) == 431);
  CHECK(target.Runs() == 0);
}

// Guards against pages that miss or that stay ready while stopping.
TEST_CASE("the admin pages show the state")
{
  TestTarget target(&Echo);
  EntrySettings settings = StaticSettings({ target.Address() });
  settings.drainDelay = std::chrono::milliseconds(400);
  TestEntry entry(settings);
  TestCaller caller;
  CHECK(caller.Get(entry.Callers(), "/s/x").response.status == 207);
  std::this_thread::sleep_for(std::chrono::milliseconds(150));
  CHECK(caller.Get(entry.Admin(), "/ready").response.status == 200);
  const auto metrics = caller.Get(entry.Admin(), "/metrics");
  CHECK(metrics.response.body.find("reason=\"answered\"} 1\n") !=
        std::string::npos);
  const auto dump = caller.Get(entry.Admin(), "/dump");
  CHECK(dump.response.body.find("\"t0\"") != std::string::npos);
  CHECK(caller.Get(entry.Admin(), "/none").response.status == 404);
  entry.BeginStop();
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  CHECK(caller.Get(entry.Admin(), "/ready").response.status == 503);
  CHECK(entry.Stop());
}
