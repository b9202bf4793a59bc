#ifndef BALANCE_RECENTHOSTS_H
#define BALANCE_RECENTHOSTS_H

#include "lacewing/Clock.h"

#include <cstddef>
#include <deque>

namespace lacewing {

/**
 * How many hosts may share a limit that holds for all of them together: the
 * largest number of live hosts in the last two minutes. Behind a network
 * partition, a host believes that the others are gone, but they go on.
 */
class RecentHosts
{
public:
  /** aStart: when this host started. */
  explicit RecentHosts(TimePoint aStart);

  /** Records the number of live hosts, this one included. */
  void Update(TimePoint aNow, unsigned aHosts);

  /** The largest recent number; 1 before the first update. */
  unsigned Most() const;

  /**
   * Whether this host has been up for long enough to know the other hosts.
   * Before, it may believe to be alone, and a cautious guess is to be used.
   */
  bool Known(TimePoint aNow) const;

  /**
   * The hosts that share a limit: Most(), and at least aTargets, the number of
   * all targets, while Known() is false. Deployments have fewer hosts than
   * targets, except small ones.
   */
  unsigned Sharing(TimePoint aNow, std::size_t aTargets) const;

private:
  struct Entry
  {
    unsigned hosts;
    TimePoint lastSeen;
  };

  const TimePoint start_;
  /** Falling numbers, each newer than the one before. */
  std::deque<Entry> entries_;
};

} // namespace lacewing

#endif // BALANCE_RECENTHOSTS_H
