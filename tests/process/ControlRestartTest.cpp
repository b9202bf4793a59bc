#include "support/CheckedLoad.h"

#include <doctest/doctest.h>

#include <csignal>
#include <thread>

using namespace lacewing;
using namespace std::chrono_literals;

// Guards against warm targets that turn cold in the view of control daemons
// that have all lost their memory, and with that against lost capacity.
TEST_CASE("targets stay warm when every controld starts anew")
{
  Deployment deployment;
  deployment.BringIntoService();
  CheckedLoad load(
    deployment, { { "steady", 2000ms }, { "restart", 6000ms } }, 300);
  std::this_thread::sleep_for(2200ms);
  for (std::size_t host = 0; host < deployment.Hosts(); ++host) {
    deployment.Controld(host).Signal(SIGKILL);
  }
  for (std::size_t host = 0; host < deployment.Hosts(); ++host) {
    deployment.Controld(host).Wait(5s);
    deployment.StartControld(host);
  }
  std::this_thread::sleep_for(3000ms);
  CHECK(deployment.WaitUntilWarm(0ms));
  const RunCheck check = load.Finish();
  CHECK(check.Passed());
  CHECK(load.Phase("restart")["answered_whole"] ==
        load.Phase("restart")["sent"]);
}
