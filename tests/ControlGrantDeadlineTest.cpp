#include "core/ManualClock.h"
#include "decision/GrantLedger.h"
#include "decision/PhaseTable.h"

#include <doctest/doctest.h>

using namespace lacewing;
using std::chrono::seconds;

// Guards against a cold target that gets more than its limit because a new
// configuration lets requests under an earlier grant run longer (I2).
TEST_CASE("a raised deadline prolongs the account of grants given before")
{
  ManualClock clock;
  PhaseTable phases(clock);
  const TargetId target("t");
  phases.SetTarget(target, WarmUp());
  GrantLedger ledger(
    clock, phases, GrantTerms(), Epoch(1), [] { return true; });
  clock.Advance(seconds(12));
  ledger.OnWant({ { HostId("a"), Incarnation(1) },
                  target,
                  Epoch(0),
                  SlotCount(1),
                  clock.Now() });
  REQUIRE(ledger.Give().size() == 1);
  ledger.RaiseLongestDeadline(seconds(60));
  ledger.RaiseLongestDeadline(seconds(20));
  clock.Advance(seconds(60));
  ledger.OnWant({ { HostId("b"), Incarnation(1) },
                  target,
                  Epoch(0),
                  SlotCount(1),
                  clock.Now() });
  CHECK(ledger.Give().empty());
  clock.Advance(seconds(4));
  ledger.OnWant({ { HostId("b"), Incarnation(1) },
                  target,
                  Epoch(0),
                  SlotCount(1),
                  clock.Now() });
  CHECK(ledger.Give().size() == 1);
}
