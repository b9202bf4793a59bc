#include "support/RolloutWorld.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

using namespace lacewing;

namespace {

constexpr double kBackgroundShare = 0.003;
constexpr unsigned kRuns = 200;

/** Runs the pattern with many seeds; returns how often it was rejected. */
unsigned CountRejected(const RolloutPattern& aPattern)
{
  unsigned rejected = 0;
  std::map<std::string, unsigned> reasons;
  for (unsigned seed = 0; seed < kRuns; ++seed) {
    RolloutWorld world(aPattern, seed);
    world.RunTo(aPattern.periodSeconds);
    if (world.rejectedAt > 0) {
      ++rejected;
      ++reasons[ToString(world.rejectReason)];
    }
    CHECK((world.rejectedAt > 0) != (world.adoptedAt > 0));
  }
  for (const auto& reason : reasons) {
    MESSAGE(reason.first, ": ", reason.second, " of ", kRuns);
  }
  return rejected;
}

bool IsIn(double aAt, double aFrom, double aLength)
{
  return aAt >= aFrom && aAt < aFrom + aLength;
}

void CheckSlowTargets(bool aChoosesOfTwo)
{
  for (const double from : { 2.0, 5.0, 8.0 }) {
    RolloutPattern pattern;
    pattern.choosesOfTwo = aChoosesOfTwo;
    pattern.badShare = [from](const RolloutAttempt& aAttempt) {
      return aAttempt.slowTarget && IsIn(aAttempt.at, from, 5)
               ? 1.0
               : kBackgroundShare;
    };
    const unsigned rejected = CountRejected(pattern);
    MESSAGE("slow from ", from, " s: ", rejected, " of ", kRuns, " rejected");
    CHECK(rejected <= kRuns * 10 / 100);
  }
}

} // namespace

// Guards against chance alone rejecting good versions.
TEST_CASE("rollout: noise of good versions seldom rejects")
{
  RolloutPattern pattern;
  pattern.badShare = [](const RolloutAttempt&) { return 0.02; };
  const unsigned rejected = CountRejected(pattern);
  MESSAGE("rejected with 2 % bad responses: ", rejected, " of ", kRuns);
  CHECK(rejected <= kRuns * 2 / 100);
}

// Guards against slow targets, which spoil all of their requests, that are
// taken for a bad version when several of the few canaries are among them. The
// targets report no slowdown; this host's own observations let it use the
// faster one of two targets.
TEST_CASE("rollout: pattern slow targets in both versions")
{
  CheckSlowTargets(true);
}

// The same for hosts that cannot tell the slow targets either.
TEST_CASE("rollout: pattern slow targets in both versions at random")
{
  CheckSlowTargets(false);
}

// Guards against lost responses of both versions that are taken for the new
// version's. They end with the route's time-out.
TEST_CASE("rollout: pattern lost responses in both versions")
{
  for (const double from : { 2.0, 5.0, 7.5 }) {
    RolloutPattern pattern;
    pattern.badLatency = 1.5;
    pattern.badShare = [from](const RolloutAttempt& aAttempt) {
      return IsIn(aAttempt.at, from, 4) ? 0.24 : kBackgroundShare;
    };
    const unsigned rejected = CountRejected(pattern);
    MESSAGE("rejected with lost responses from ",
            from,
            " s: ",
            rejected,
            " of ",
            kRuns);
    CHECK(rejected <= kRuns * 2 / 100);
  }
}

// Guards against noise that hides a bad version: completing one is the worst
// outcome.
TEST_CASE("rollout: noise does not let a bad version pass")
{
  unsigned completed = 0;
  for (const double from : { 1.0, 3.0, 5.0, 8.0 }) {
    for (unsigned seed = 0; seed < kRuns; ++seed) {
      RolloutPattern pattern;
      pattern.badShare = [from](const RolloutAttempt& aAttempt) {
        const bool slow = aAttempt.slowTarget && IsIn(aAttempt.at, from, 5);
        return slow ? 1.0 : aAttempt.isNew ? 0.35 : kBackgroundShare;
      };
      RolloutWorld world(pattern, seed);
      world.RunTo(pattern.periodSeconds);
      completed += world.fullAt > 0 ? 1 : 0;
      CHECK(world.newAttempts <= world.Allowed());
    }
  }
  CHECK(completed == 0);
}
