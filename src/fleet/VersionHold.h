#ifndef FLEET_VERSIONHOLD_H
#define FLEET_VERSIONHOLD_H

#include "lacewing/Clock.h"
#include "lacewing/ServiceId.h"
#include "lacewing/ServiceVersion.h"

#include <map>
#include <optional>
#include <set>

namespace lacewing {

/** An order reaches all hosts within this time. */
constexpr Duration kVersionHoldTime = std::chrono::seconds(2);

/**
 * Holds back a version that is new to a service with other targets, so that no
 * request reaches it before an order that names it has arrived.
 */
class VersionHold
{
public:
  /**
   * Orders have been read. A host that finds several versions at its start may
   * lack an order; it holds all of them back until it has read the orders, for
   * kVersionHoldTime at most.
   */
  void OnOrdersRead(TimePoint aNow);

  /** Notes the versions of a service's targets. */
  void Update(TimePoint aNow,
              const ServiceId& aService,
              const std::set<ServiceVersion>& aVersions);

  /** Holds the version back once more, since its order has gone. */
  void Hold(TimePoint aNow,
            const ServiceId& aService,
            const ServiceVersion& aVersion);

  bool IsHeld(TimePoint aNow,
              const ServiceId& aService,
              const ServiceVersion& aVersion) const;

  /** Whether a version was in use at aTime. */
  bool WasUsed(TimePoint aTime,
               const ServiceId& aService,
               const ServiceVersion& aVersion) const;

  /** When the next version that is held back may be used. */
  std::optional<TimePoint> NextRelease(TimePoint aNow) const;

private:
  struct Entry
  {
    TimePoint usableFrom;
    TimePoint lastSeen;
    /** Held back only because the orders have not been read. */
    bool waitsForOrders = false;
  };
  using Versions = std::map<ServiceVersion, Entry>;

  const Entry* Find(const ServiceId& aService,
                    const ServiceVersion& aVersion) const;

  bool ordersRead_ = false;
  std::map<ServiceId, Versions> services_;
};

} // namespace lacewing

#endif // FLEET_VERSIONHOLD_H
