#include "support/RolloutWorld.h"

#include <doctest/doctest.h>

using namespace lacewing;

namespace {

constexpr double kBackgroundShare = 0.003;
// Between a decision and the last request that it could not stop, with the
// evidence's way, a version that shows its fault must be gone in 2 s.
constexpr double kDetectionSeconds = 2;
// The trial begins when two exchanges have told the service's rate; evidence is
// up to 1.1 s old when it is used.
constexpr double kTrialBegin = 1.6;
constexpr double kEvidenceAge = 1.1;
constexpr double kRollbackSeconds = 5;
constexpr unsigned kSeeds = 20;

RolloutPattern GoodFor(double aPeriodSeconds)
{
  RolloutPattern pattern;
  pattern.periodSeconds = aPeriodSeconds;
  return pattern;
}

/** A version with bad responses for attempts that meet the condition. */
template<class Condition>
RolloutPattern Bad(double aShare, Condition aCondition)
{
  RolloutPattern pattern;
  pattern.badShare = [aShare, aCondition](const RolloutAttempt& aAttempt) {
    return aAttempt.isNew && aCondition(aAttempt) ? aShare : kBackgroundShare;
  };
  return pattern;
}

bool Always(const RolloutAttempt&)
{
  return true;
}

RolloutPattern BadAtOnce(double aShare)
{
  return Bad(aShare, Always);
}

/** Runs a bad version to the end of its period and checks the bounds. */
void CheckBad(const RolloutPattern& aPattern, unsigned aSeed)
{
  CAPTURE(aSeed);
  RolloutWorld world(aPattern, aSeed);
  world.RunTo(aPattern.periodSeconds + 1);
  CHECK(world.rejectedAt > 0);
  CHECK(world.rejectedAt < aPattern.periodSeconds);
  CHECK(world.fullAt < 0);
  CHECK(world.newAttempts <= world.Allowed());
  if (world.fiftiethBadAt > 0) {
    CHECK(world.lastNewAt <= world.fiftiethBadAt + kRollbackSeconds);
  }
}

} // namespace

// Guards against a good version that is completed late or not at all.
TEST_CASE("rollout: pattern quiet and good")
{
  for (const double period : { 12.0, 14.0, 16.0 }) {
    double sum = 0;
    for (unsigned seed = 0; seed < kSeeds; ++seed) {
      CAPTURE(period);
      CAPTURE(seed);
      RolloutWorld world(GoodFor(period), seed);
      world.RunTo(period);
      CHECK(world.rejectedAt < 0);
      CHECK(world.fullAt > 0);
      sum += world.fullAt;
      CHECK(world.adoptedAt > 0);
    }
    // A bad response by chance delays a step by up to a second.
    MESSAGE("all requests at ", sum / kSeeds / period, " of ", period, " s");
    CHECK(sum / kSeeds <= 0.66 * period);
  }
}

// Guards against a burst that is taken for a bad version or for too much
// exposure.
TEST_CASE("rollout: pattern burst and good")
{
  for (unsigned seed = 0; seed < kSeeds; ++seed) {
    CAPTURE(seed);
    RolloutPattern pattern;
    pattern.rateFactor = [](double aAt) {
      return aAt > 7 && aAt < 11 ? 1.7 : 1.0;
    };
    RolloutWorld world(pattern, seed);
    world.RunTo(pattern.periodSeconds);
    CHECK(world.rejectedAt < 0);
    CHECK(world.adoptedAt > 0);
  }
}

// Guards against a version whose fault shows at once and is found late.
TEST_CASE("rollout: pattern bad at once")
{
  for (const double share : { 0.35, 0.5 }) {
    for (unsigned seed = 0; seed < kSeeds; ++seed) {
      CAPTURE(share);
      CAPTURE(seed);
      CheckBad(BadAtOnce(share), seed);
      RolloutWorld world(BadAtOnce(share), seed);
      world.RunTo(10);
      CHECK(world.rejectedAt < kTrialBegin + kEvidenceAge + kDetectionSeconds);
    }
  }
}

// Guards against a fault on one route that is diluted by the others.
TEST_CASE("rollout: pattern bad on one route")
{
  const auto onRoute = [](const RolloutAttempt& aAttempt) {
    return aAttempt.route == 1;
  };
  for (const double share : { 0.35, 0.5 }) {
    CAPTURE(share);
    double sum = 0;
    for (unsigned seed = 0; seed < kSeeds; ++seed) {
      CheckBad(Bad(share, onRoute), seed);
      RolloutWorld world(Bad(share, onRoute), seed);
      world.RunTo(10);
      sum += world.rejectedAt;
    }
    // With 10 requests a second on the route, chance alone delays some runs.
    MESSAGE("rejected on average at ", sum / kSeeds, " s");
    CHECK(sum / kSeeds < kTrialBegin + kEvidenceAge + kDetectionSeconds);
  }
}

// Guards against canary targets so idle that a fault under load stays hidden.
TEST_CASE("rollout: pattern bad only under load")
{
  const auto busy = [](const RolloutAttempt& aAttempt) {
    return aAttempt.load > 0.8;
  };
  for (const unsigned targets : { 8U, 30U, 100U }) {
    for (unsigned seed = 0; seed < kSeeds; ++seed) {
      CAPTURE(targets);
      RolloutPattern pattern = Bad(0.4, busy);
      pattern.newTargets = targets;
      CheckBad(pattern, seed);
    }
  }
}

// Guards against proof from before the fault that outweighs the fault.
TEST_CASE("rollout: pattern bad late")
{
  for (const double from : { 3.0, 5.0, 7.0, 8.5 }) {
    for (unsigned seed = 0; seed < kSeeds; ++seed) {
      CAPTURE(from);
      CheckBad(Bad(0.4,
                   [from](const RolloutAttempt& aAttempt) {
                     return aAttempt.at > from;
                   }),
               seed);
    }
  }
}

// Guards against a proven version that can no longer be rejected while old
// targets still run. Without a comparison, 45 % bad responses may be noise.
TEST_CASE("rollout: a version that turns bad with all requests is rejected")
{
  const auto late = [](const RolloutAttempt& aAttempt) {
    return aAttempt.at > 9.7;
  };
  RolloutWorld world(Bad(0.75, late), 1);
  world.RunTo(9.65);
  REQUIRE(world.fullAt > 0);
  REQUIRE(world.adoptedAt < 0);
  world.CutOffZone(0);
  world.RunTo(12);
  CHECK(world.rejectedAt > 0);
  CHECK(world.Directive().shareBasisPoints == 0);
}

// Guards against a proof made of a handful of requests.
TEST_CASE("rollout: pattern few requests")
{
  for (unsigned seed = 0; seed < kSeeds; ++seed) {
    CAPTURE(seed);
    RolloutPattern pattern;
    pattern.ratePerSecond = 2;
    RolloutWorld world(pattern, seed);
    world.RunTo(pattern.periodSeconds);
    CHECK(world.fullAt < 0);
    CHECK(world.rejectedAt > 0);
    CHECK(world.rejectedAt < pattern.periodSeconds);
  }
}

// Guards against a bad version of a service with few requests that gets by.
TEST_CASE("rollout: pattern few requests and bad")
{
  for (const double rate : { 10.0, 40.0, 100.0, 200.0 }) {
    for (unsigned seed = 0; seed < kSeeds; ++seed) {
      CAPTURE(rate);
      RolloutPattern pattern = BadAtOnce(0.35);
      pattern.ratePerSecond = rate;
      CheckBad(pattern, seed);
    }
  }
}

// Guards against an order that stays open since its targets never start.
TEST_CASE("rollout: pattern no usable targets")
{
  RolloutPattern pattern;
  pattern.warmAt = 1000;
  RolloutWorld world(pattern, 1);
  world.RunTo(13);
  CHECK(world.Directive().shareBasisPoints == 0);
  CHECK(world.rejectedAt < 0);
  CHECK(world.Last().reason == RolloutReason::kWaitsForTargets);
  world.RunTo(pattern.periodSeconds);
  CHECK(world.rejectedAt > 0);
  CHECK(world.newAttempts == 0);
}

// Guards against targets that are cold for long and leave no time for a trial.
TEST_CASE("rollout: pattern late warm targets and good")
{
  for (unsigned seed = 0; seed < kSeeds; ++seed) {
    CAPTURE(seed);
    RolloutPattern pattern = GoodFor(12);
    pattern.warmAt = 4;
    RolloutWorld world(pattern, seed);
    world.RunTo(pattern.periodSeconds);
    CHECK(world.rejectedAt < 0);
    CHECK(world.adoptedAt > 0);
  }
}
