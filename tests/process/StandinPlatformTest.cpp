#include "support/BlockingHttp.h"
#include "support/FreePorts.h"
#include "support/Process.h"

#include <doctest/doctest.h>

#include <future>
#include <thread>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

struct PlatformFixture
{
  PlatformFixture() { REQUIRE(WaitUntilListening(at)); }

  int PutIf(const std::string& aTag, const std::string& aBody)
  {
    HttpFields fields;
    fields.Add("If-Match", aTag);
    return Send("PUT", at, "/objects/config/head", aBody, fields)
      .response.status;
  }

  FreePorts ports{ 1 };
  Endpoint at = ports.At(0);
  Process platform{ "standin-platform",
                    { "--listen=" + at.ToString(), "--host_list_lag_ms=300" } };
};

} // namespace

// Guards against two writers both winning with the same expected version.
TEST_CASE_FIXTURE(PlatformFixture, "a conditional write takes effect once")
{
  HttpFields absent;
  absent.Add("If-None-Match", "*");
  const std::string target = "/objects/config%2Fhead";
  const HttpCallResult created = Send("PUT", at, target, "a", absent);
  CHECK(created.response.status == 201);
  CHECK(Send("PUT", at, target, "b", absent).response.status == 412);
  const std::string tag = *created.response.fields.Find("ETag");
  CHECK(PutIf(tag, "b") == 200);
  CHECK(PutIf(tag, "c") == 412);
  CHECK(Get(at, "/objects/config/head").response.body == "b");
  // A tag never comes back, even when the object is made anew.
  CHECK(Send("DELETE", at, target).response.status == 204);
  CHECK(PutIf(tag, "d") == 412);
  CHECK(platform.Stop() == 0);
}

// Guards against a lost answer that also loses the write, which would hide
// faults of writers that must read back.
TEST_CASE_FIXTURE(PlatformFixture, "a write with a lost answer is applied")
{
  Send("PUT", at, "/faults", R"({"lose_write_answers":1})");
  CHECK(Send("PUT", at, "/objects/x", "1").end == HttpCallEnd::kLost);
  CHECK(Get(at, "/objects/x").response.body == "1");
  CHECK(Send("PUT", at, "/objects/x", "2").end == HttpCallEnd::kAnswered);
}

// Guards against a watch that misses a change or does not end.
TEST_CASE_FIXTURE(PlatformFixture, "a watch answers a change, else 304")
{
  const std::string watch = "/objects/x?watch=%220%22&wait_ms=";
  CHECK(Get(at, watch + "50").response.status == 304);
  std::future<HttpCallResult> waiting =
    std::async(std::launch::async, [&] { return Get(at, watch + "5000"); });
  std::this_thread::sleep_for(100ms);
  Send("PUT", at, "/objects/x", "new");
  const HttpCallResult woken = waiting.get();
  CHECK(woken.response.status == 200);
  CHECK(woken.response.body == "new");
  CHECK(GetJson(at, "/calls")["watch"] == 2);
}

// Guards against stale reads, outages and rates that do not bite, so that
// checks under these faults would prove nothing.
TEST_CASE_FIXTURE(PlatformFixture, "faults take effect and end")
{
  Send("PUT", at, "/objects/x", "old");
  Send("PUT", at, "/faults", R"({"stale":true})");
  Send("PUT", at, "/objects/x", "new");
  CHECK(Get(at, "/objects/x").response.body == "old");
  Send("PUT", at, "/faults", R"({"stale":false,"down":true})");
  CHECK(Get(at, "/objects/x").end == HttpCallEnd::kLost);
  Send("PUT", at, "/faults", R"({"down":false,"reads_per_second":1})");
  CHECK(Get(at, "/objects/x").response.body == "new");
  CHECK(Get(at, "/objects/x").response.status == 429);
  CHECK(GetJson(at, "/calls")["refused"] == 1);
}

// Guards against a host list that shows changes at once.
TEST_CASE_FIXTURE(PlatformFixture, "the host list lags")
{
  Send("PUT", at, "/hosts/h1", R"({"address":"127.0.0.2","zone":"Bole"})");
  CHECK(GetJson(at, "/hosts").empty());
  std::this_thread::sleep_for(350ms);
  CHECK(GetJson(at, "/hosts").at(0)["state"] == "live");
}
