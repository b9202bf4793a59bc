#include "admission/Pressure.h"
#include "admission/RequiredQuality.h"
#include "admission/RetryAfter.h"
#include "admission/WaitLimit.h"
#include "core/ManualClock.h"

#include <doctest/doctest.h>

using namespace lacewing;

namespace {

constexpr Duration kObjective = std::chrono::milliseconds(1500);

/** Searches each 50 ms, of which one in aOneIn fails, for aTime. */
void Search(ManualClock& aClock,
            Pressure& aPressure,
            Duration aTime,
            int aOneIn)
{
  constexpr Duration kPeriod = std::chrono::milliseconds(50);
  int search = 0;
  for (Duration passed{ 0 }; passed < aTime; passed += kPeriod) {
    aClock.Advance(kPeriod);
    if (++search % aOneIn == 0) {
      aPressure.OnNoGoodTarget(aClock.Now());
    } else {
      aPressure.OnGoodTarget(aClock.Now());
    }
  }
}

} // namespace

// Guards against an overload of some seconds that is noticed when it is over,
// and against refusing for long after it: a burst of 3 s, then calm.
TEST_CASE("admission: pressure follows a burst")
{
  ManualClock clock;
  Pressure pressure;
  Search(clock, pressure, std::chrono::seconds(5), 10);
  CHECK_FALSE(pressure.IsHigh(clock.Now()));
  Search(clock, pressure, std::chrono::milliseconds(1000), 2);
  CHECK(pressure.IsHigh(clock.Now()));
  Search(clock, pressure, std::chrono::milliseconds(2000), 2);
  CHECK(pressure.IsHigh(clock.Now()));
  Search(clock, pressure, std::chrono::milliseconds(2000), 1000);
  CHECK_FALSE(pressure.IsHigh(clock.Now()));
}

// Guards against high pressure after one failed search of a host that sends a
// few requests a second.
TEST_CASE("admission: a single failed search is no pressure")
{
  ManualClock clock;
  Pressure pressure;
  pressure.OnNoGoodTarget(clock.Now());
  CHECK_FALSE(pressure.IsHigh(clock.Now()));
}

// Guards against serving a more urgent route less than a less urgent one when
// targets shed, and against refusing anything without pressure.
TEST_CASE("admission: under pressure the least urgent route needs most")
{
  CHECK(RequiredQuality(false, false) == TargetQuality::kAny);
  CHECK(RequiredQuality(false, true) == TargetQuality::kAny);
  CHECK(RequiredQuality(true, false) == TargetQuality::kQuiet);
  CHECK(RequiredQuality(true, true) == TargetQuality::kGood);
}

// Guards against a request that waits until its deadline passes, and against a
// wait that leaves no time for a second attempt after the refusal.
TEST_CASE("admission: a request waits for a part of its objective only")
{
  ManualClock clock;
  const TimePoint start = clock.Now();
  const TimePoint deadline = start + std::chrono::seconds(8);
  int searches = 0;
  while (MayWait(clock.Now(), start, kObjective, deadline)) {
    clock.Advance(kRecheckInterval);
    ++searches;
  }
  CHECK(searches > 3);
  CHECK(clock.Now() - start <= kObjective / 8);
  // A service time of 570 ms still fits after the refusal and the pause.
  CHECK(clock.Now() - start + RetryAfter(kObjective) +
          std::chrono::milliseconds(570) <
        kObjective);
}

// Guards against waiting beyond the caller's own deadline.
TEST_CASE("admission: a request does not wait beyond its deadline")
{
  ManualClock clock;
  const TimePoint start = clock.Now();
  const TimePoint deadline = start + std::chrono::milliseconds(30);
  CHECK(MayWait(clock.Now(), start, kObjective, deadline));
  clock.Advance(kRecheckInterval);
  CHECK_FALSE(MayWait(clock.Now(), start, kObjective, deadline));
}
