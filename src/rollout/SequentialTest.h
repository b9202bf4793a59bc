#ifndef ROLLOUT_SEQUENTIALTEST_H
#define ROLLOUT_SEQUENTIALTEST_H

#include "lacewing/Clock.h"
#include "rollout/RouteEvidence.h"
#include "rollout/WindowedShare.h"

namespace lacewing {

/**
 * Compares the new version's share of bad responses on one route with that of
 * the old version at the same time. Page's CUSUM test (1954) detects a bad
 * version, Wald's sequential probability ratio test (1945) a good one.
 */
class SequentialTest
{
public:
  SequentialTest();

  /**
   * Takes the attempts that ended since the last call. aNewTargets is the
   * number of new targets in use: with few of them, one slow target spoils a
   * large part of the new version's responses. aOldInUse is false once all
   * requests go to the new version; the last responses of old targets are from
   * another time then.
   */
  void OnAttempts(TimePoint aNow,
                  const RouteEvidence& aGrowth,
                  unsigned aNewTargets,
                  bool aOldInUse = true);

  /** Whether the version is bad, at error rate aErrorRate for a good one. */
  bool Rejects(double aErrorRate) const;
  /** Whether the version is good, at error rate aErrorRate for a bad one. */
  bool Accepts(double aErrorRate) const;

  /** Attempts at both versions that the test has seen. */
  double Seen() const { return seen_; }

private:
  /**
   * Whether the old version gets too few requests to be compared with: noise in
   * both versions cannot be told from a bad version then.
   */
  bool IsAlone(TimePoint aNow) const;

  WindowedShare old_;
  WindowedShare oldRecent_;
  WindowedShare newRecent_;
  /** Log likelihood ratio of bad to good since it was last zero. */
  double badScore_ = 0;
  /** Log likelihood ratio of bad to good; negative for a good version. */
  double goodScore_ = 0;
  double seen_ = 0;
};

} // namespace lacewing

#endif // ROLLOUT_SEQUENTIALTEST_H
