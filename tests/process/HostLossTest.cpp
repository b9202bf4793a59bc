#include "support/BlockingHttp.h"
#include "support/CheckedLoad.h"

#include <doctest/doctest.h>

#include <csignal>
#include <thread>

using namespace lacewing;
using namespace std::chrono_literals;

// Guards against requests doubled or falsely refused when an entry host dies,
// and against traffic that stops with a controld (I5, I6).
TEST_CASE("entry hosts and control daemons are killed under load")
{
  Deployment deployment;
  deployment.BringIntoService();
  CheckedLoad load(
    deployment,
    { { "steady", 2000ms }, { "killed", 4000ms }, { "restarted", 4000ms } },
    300);
  std::this_thread::sleep_for(2200ms);
  deployment.Entryd(0).Signal(SIGKILL);
  deployment.Controld(1).Signal(SIGKILL);
  deployment.Controld(2).Signal(SIGKILL);
  std::this_thread::sleep_for(4000ms);
  deployment.StartEntryd(0);
  deployment.StartControld(1);
  deployment.StartControld(2);
  const RunCheck check = load.Finish();
  CHECK(check.Passed());
  CHECK(load.Phase("steady")["answered_whole"] == load.Phase("steady")["sent"]);
  // Only requests in progress on the killed entryd may be lost.
  const nlohmann::json killed = load.Phase("killed");
  CHECK(killed["errors"].get<int>() + killed["not_run"].get<int>() +
          killed["unknown"].get<int>() <=
        20);
  CHECK(load.Phase("restarted")["answered_whole"] ==
        load.Phase("restarted")["sent"]);
}

// Guards against a planned stop that cuts off requests in progress (I8).
TEST_CASE("an entry host stops gracefully under load")
{
  Deployment deployment;
  deployment.BringIntoService();
  CheckedLoad load(
    deployment, { { "steady", 2000ms }, { "stop", 4000ms } }, 300);
  std::this_thread::sleep_for(2200ms);
  CHECK(deployment.Entryd(0).Stop() == 0);
  CHECK(deployment.Controld(0).Stop() == 0);
  const RunCheck check = load.Finish();
  CHECK(check.Passed());
  CHECK(load.Phase("stop")["answered_whole"] == load.Phase("stop")["sent"]);
}
