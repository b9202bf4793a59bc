#include "support/BlockingHttp.h"
#include "support/FreePorts.h"
#include "support/Process.h"

#include <doctest/doctest.h>

using namespace lacewing;

// Guards against faults that leave the traffic unharmed, so that checks under
// them would prove nothing, and against faults that do not end.
TEST_CASE("the proxy truncates, refuses and recovers")
{
  const FreePorts ports(3);
  const Endpoint at = ports.At(1);
  const Endpoint admin = ports.At(2);
  Process target(
    "standin-target",
    { "--listen=" + ports.At(0).ToString(), "--set=service_ms=1" });
  Process proxy("fault-proxy",
                { "--listen=" + at.ToString(),
                  "--to=" + ports.At(0).ToString(),
                  "--admin=" + admin.ToString() });
  REQUIRE(WaitUntilListening(ports.At(0)));
  REQUIRE(WaitUntilListening(admin));
  const std::string down = "/pairs/" + std::to_string(at.port) + "/down";
  CHECK(Get(at, "/?bytes=90000").response.body.size() == 90000);
  Send("PUT", admin, down, R"({"truncate_after":1000})");
  CHECK(Get(at, "/?bytes=90000").end == HttpCallEnd::kLost);
  Send("PUT", admin, down, R"({"truncate_after":0,"latency_ms":150})");
  const auto start = std::chrono::steady_clock::now();
  CHECK(Get(at, "/").end == HttpCallEnd::kAnswered);
  CHECK(std::chrono::steady_clock::now() - start >=
        std::chrono::milliseconds(150));
  Send("PUT", admin, "/pairs/all/refuse", "true");
  CHECK(Get(at, "/").end == HttpCallEnd::kNotSent);
  Send("PUT", admin, "/pairs/all/refuse", "false");
  CHECK(Get(at, "/").end == HttpCallEnd::kAnswered);
  CHECK(proxy.Stop() == 0);
}
