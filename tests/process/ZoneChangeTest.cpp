#include "support/CheckedLoad.h"

#include <doctest/doctest.h>

#include <thread>

using namespace lacewing;
using namespace std::chrono_literals;

// Guards against new work in a zone 3 s after operators take it out (I3),
// requests cut off by the change (I8), and a burst on targets that return.
TEST_CASE("a zone leaves and returns without a failed request")
{
  Deployment deployment;
  deployment.BringIntoService();
  CheckedLoad load(deployment,
                   { { "steady", 3000ms },
                     { "leaving", 3000ms },
                     { "out", 3000ms },
                     { "back", 4000ms } },
                   300);
  std::this_thread::sleep_for(3200ms);
  CHECK(deployment.Ctl({ "zone", "out", "z1" }).code == 0);
  std::this_thread::sleep_for(6000ms);
  CHECK(deployment.Ctl({ "zone", "join", "z1" }).code == 0);
  const RunCheck check = load.Finish();
  CHECK(check.Passed());
  CHECK(check.Phase("steady").runs[1] > 0);
  CHECK(check.Phase("out").runs[1] == 0);
  CHECK(check.Phase("back").runs[1] > 0);
  for (const char* phase : { "steady", "leaving", "out", "back" }) {
    CHECK(load.Phase(phase)["answered_whole"] == load.Phase(phase)["sent"]);
  }
}

// Shows that the check above sees work in a zone that is still in service.
TEST_CASE("the check sees runs in a zone that was not taken out")
{
  Deployment deployment;
  deployment.BringIntoService();
  CheckedLoad load(deployment, { { "out", 2000ms } }, 300);
  CHECK(load.Finish().Phase("out").runs[1] > 0);
}
