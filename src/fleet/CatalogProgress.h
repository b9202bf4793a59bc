#ifndef FLEET_CATALOGPROGRESS_H
#define FLEET_CATALOGPROGRESS_H

#include "catalog/StorePosition.h"
#include "lacewing/Clock.h"
#include "metrics/LatencyHistogram.h"
#include "metrics/MetricsPage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lacewing {

/**
 * Measures how long this host knows of changes before it has them, and how its
 * pulls from peers end. A change that takes long is logged.
 */
class CatalogProgress
{
public:
  /** aPeer has reached aPositions, some of which are later than this host's. */
  void NoteBehind(const std::string& aPeer,
                  const std::vector<StorePosition>& aPositions,
                  TimePoint aNow);

  /**
   * This host has reached aPositions. aFrom is "store" or the name of the peer
   * that the changes came from.
   */
  void NoteReached(const std::vector<StorePosition>& aPositions,
                   const std::string& aFrom,
                   TimePoint aNow);

  /** For how long this host has known of changes that it lacks. */
  Duration Behind(TimePoint aNow) const;

  /** A pull from aPeer ended after aElapsed; aError is empty if it worked. */
  void NotePull(const std::string& aPeer,
                const std::string& aError,
                Duration aElapsed);

  void AddMetrics(MetricsPage& aPage) const;

private:
  /** When awaited_ was reported; unset while nothing is awaited. */
  std::optional<TimePoint> behindSince_;
  std::vector<StorePosition> awaited_;
  std::string reportedBy_;
  /** Failed pulls since behindSince_. */
  unsigned failedPulls_ = 0;
  std::uint64_t pulls_ = 0;
  std::uint64_t failures_ = 0;
  LatencyHistogram behind_;
};

} // namespace lacewing

#endif // FLEET_CATALOGPROGRESS_H
