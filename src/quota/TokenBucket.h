#ifndef QUOTA_TOKENBUCKET_H
#define QUOTA_TOKENBUCKET_H

#include "lacewing/Clock.h"
#include "quota/TokenCount.h"

namespace lacewing {

/** A token bucket that starts empty. */
class TokenBucket
{
public:
  explicit TokenBucket(TimePoint aStart)
    : at_(aStart)
  {
  }

  /**
   * Sets the rate in tokens a second and the capacity in tokens, from aNow on.
   */
  void SetLimit(double aPerSecond, double aCapacity, TimePoint aNow);

  /** Adds the tokens of the time until aNow, at most up to the capacity. */
  void Refill(TimePoint aNow);

  /**
   * Accounts for a time up to aNow in which aOther may have been granted
   * elsewhere at this rate: adds no tokens for it and removes those of aOther.
   */
  void Skip(TimePoint aNow, Duration aOther);

  /** Whole tokens in the bucket at the last refill. */
  TokenCount Whole() const;
  double Level() const { return level_; }
  double Capacity() const { return capacity_; }
  double PerSecond() const { return perSecond_; }

  /** Removes tokens; the caller has checked that they are there. */
  void Take(TokenCount aCount);
  /** Adds tokens, at most up to the capacity. */
  void Put(TokenCount aCount);

  /** Time until the bucket has a whole token; zero if it has one. */
  Duration TimeUntilToken() const;

private:
  TimePoint at_;
  double perSecond_ = 0;
  double capacity_ = 0;
  double level_ = 0;
};

} // namespace lacewing

#endif // QUOTA_TOKENBUCKET_H
