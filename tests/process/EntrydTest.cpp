#include "support/BlockingHttp.h"
#include "support/FreePorts.h"
#include "support/Process.h"
#include "support/TempFile.h"

#include <doctest/doctest.h>

#include <csignal>
#include <future>
#include <thread>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

/** A stand-in target with one entryd in front of it. */
struct EntrydFixture
{
  EntrydFixture()
  {
    REQUIRE(WaitUntilListening(target));
    REQUIRE(WaitUntilListening(admin));
  }

  std::string Settings() const
  {
    return "host = \"e1\"\nzone = \"z\"\ndrain_delay = \"200 ms\"\n"
           "callers = \"" +
           callers.ToString() + "\"\nadmin = \"" + admin.ToString() +
           "\"\nworkers = 2\n[static.s]\nslots = 20\n"
           "[static.s.targets.t1]\nzone = \"z\"\nendpoint = \"" +
           target.ToString() + "\"\n";
  }

  FreePorts ports{ 4 };
  Endpoint target = ports.At(0);
  Endpoint targetAdmin = ports.At(1);
  Endpoint callers = ports.At(2);
  Endpoint admin = ports.At(3);
  Process standin{ "standin-target",
                   { "--listen=" + target.ToString(),
                     "--admin=" + targetAdmin.ToString(),
                     "--set=slots=20,service_ms=600" } };
  TempFile file{ Settings() };
  Process entryd{ "lacewing-entryd", { "--settings", file.Path() } };
};

} // namespace

// Guards against a SIGTERM that cuts off requests in progress, stays ready or
// ends with a failure status (I8).
TEST_CASE_FIXTURE(EntrydFixture, "entryd ends gracefully on SIGTERM")
{
  CHECK(Get(admin, "/ready").response.status == 200);
  std::vector<std::future<HttpCallResult>> open;
  for (int i = 0; i < 10; ++i) {
    open.push_back(std::async(std::launch::async, [this, i] {
      return Get(callers, "/s/" + std::to_string(i));
    }));
  }
  std::this_thread::sleep_for(300ms);
  entryd.Signal(SIGTERM);
  std::this_thread::sleep_for(50ms);
  CHECK(Get(admin, "/ready").response.status == 503);
  for (auto& call : open) {
    const HttpCallResult result = call.get();
    CHECK(result.end == HttpCallEnd::kAnswered);
    CHECK(result.response.status == 200);
  }
  CHECK(entryd.Wait(10s) == 0);
}

// Guards against mistakes in settings that show only when entryd serves.
TEST_CASE("entryd --check-settings names the key that is wrong")
{
  const TempFile file("host = \"e1\"\nzone = \"z\"\nworker = 2\n"
                      "callers = \"127.0.0.1:80800\"\n");
  Process check("lacewing-entryd",
                { "--settings", file.Path(), "--check-settings" });
  CHECK(check.Wait(5s) == 1);
  CHECK(check.Output().find("worker") != std::string::npos);
  CHECK(check.Output().find("callers") != std::string::npos);
  CHECK(check.Output().find("admin") != std::string::npos);
  Process example("lacewing-entryd",
                  { "--settings",
                    LACEWING_SOURCE_DIR "/examples/entryd.toml",
                    "--check-settings" });
  CHECK(example.Wait(5s) == 0);
}
