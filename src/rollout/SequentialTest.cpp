#include "rollout/SequentialTest.h"

#include <algorithm>
#include <cmath>

namespace lacewing {

namespace {

constexpr Duration kWindow = std::chrono::seconds(3);
constexpr Duration kRecentWindow = std::chrono::seconds(1);
// Below this ratio of old to new attempts the versions are not compared.
constexpr double kMinOldRatio = 0.1;
// A bad version has 35 to 50 % bad responses; a smaller difference than this is
// left to noise.
constexpr double kMinDifference = 0.15;
// Acceptance is tested against a larger one: with 0.15, slow targets for 5 s
// kept 27 % of the good versions from being proven in their period.
constexpr double kAcceptDifference = 0.25;
constexpr double kMinRatio = 2;
// Without a comparison, as many bad responses as noise can cause are taken for
// the old version's: with 24 % of the responses lost and 17 % of the targets 4
// times slower, 0.25 rejected a good version that had been proven.
constexpr double kNoiseShare = 0.45;
// Above this share, bad responses come from slow targets or lost responses.
constexpr double kQuietShare = 0.015;
// Standard deviations of the share of slow targets that are left to noise.
constexpr double kSpreads = 2;
constexpr double kMaxGoodShare = 0.6;
constexpr double kMaxBadShare = 0.95;
// Bounds of the score for acceptance: what was good or bad long ago must not
// hide what happens now.
constexpr double kMostGood = -16;
constexpr double kLeastGood = 0;

double BadShareFor(double aGoodShare, double aDifference)
{
  return std::max(aGoodShare + aDifference, kMinRatio * aGoodShare);
}

double LogRatio(const RouteEvidence& aGrowth, double aGood, double aBad)
{
  const double good = std::min(aGood, kMaxGoodShare);
  const double bad = std::min(aBad, kMaxBadShare);
  const double badCount = std::min(aGrowth.newBad, aGrowth.newCount);
  return badCount * std::log(bad / good) +
         (aGrowth.newCount - badCount) * std::log((1 - bad) / (1 - good));
}

/**
 * How far the share of slow targets among a few targets may be above aShare by
 * chance: one slow target spoils all of its responses.
 */
double SpreadOverTargets(double aShare, unsigned aTargets)
{
  return kSpreads * std::sqrt(std::max(0.0, aShare - kQuietShare) *
                              (1 - aShare) / std::max(1U, aTargets));
}

double Threshold(double aErrorRate)
{
  return -std::log(aErrorRate);
}

} // namespace

SequentialTest::SequentialTest()
  : old_(kWindow)
  , oldRecent_(kRecentWindow)
  , newRecent_(kRecentWindow)
{
}

bool SequentialTest::IsAlone(TimePoint aNow) const
{
  return oldRecent_.CountAt(aNow) < kMinOldRatio * newRecent_.CountAt(aNow);
}

void SequentialTest::OnAttempts(TimePoint aNow,
                                const RouteEvidence& aGrowth,
                                unsigned aNewTargets,
                                bool aOldInUse)
{
  old_.Add(aNow, aGrowth.oldCount, aGrowth.oldBad);
  oldRecent_.Add(aNow, aGrowth.oldCount, aGrowth.oldBad);
  newRecent_.Add(aNow, aGrowth.newCount, aGrowth.newBad);
  seen_ += aGrowth.oldCount + aGrowth.newCount;
  // Noise that has just begun shows in the newest attempts first.
  double share =
    std::max(old_.Share(), ShrunkShare(aGrowth.oldCount, aGrowth.oldBad));
  double badShare = BadShareFor(share, kMinDifference);
  double spread = SpreadOverTargets(share, aNewTargets);
  if (!aOldInUse || IsAlone(aNow)) {
    share = std::max(share, kNoiseShare);
    badShare = share + kMinDifference;
    spread = 0;
  } else {
    goodScore_ = std::clamp(
      goodScore_ +
        LogRatio(aGrowth, share, BadShareFor(share, kAcceptDifference)),
      kMostGood,
      kLeastGood);
  }
  badScore_ = std::max(
    0.0, badScore_ + LogRatio(aGrowth, share + spread, badShare + spread));
}

bool SequentialTest::Rejects(double aErrorRate) const
{
  return badScore_ > Threshold(aErrorRate);
}

bool SequentialTest::Accepts(double aErrorRate) const
{
  return goodScore_ < -Threshold(aErrorRate);
}

} // namespace lacewing
