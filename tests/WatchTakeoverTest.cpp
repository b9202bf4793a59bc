#include "support/CatalogPeer.h"
#include "support/PullingHost.h"

#include <doctest/doctest.h>

#include <memory>
#include <vector>

using namespace lacewing;

namespace {

using std::chrono::milliseconds;

/** A host of zone "z" that hears a speaker of each of some other zones. */
class ZonesOnAir
{
public:
  explicit ZonesOnAir(int aOtherZones)
  {
    for (int i = 0; i < aOtherZones; ++i) {
      ZoneDigest digest;
      digest.zone = ZoneId("y" + std::to_string(i));
      digest.alive = 3;
      digest.reachesStore = true;
      speakers_.push_back(std::make_unique<CatalogPeer>(
        host.context, "s" + std::to_string(i), digest.zone.value()));
      speakers_.back()->zones = { digest };
    }
    // The first start of an election takes 2 s at most.
    const TimePoint settled = host.clock.Now() + milliseconds(2500);
    host.RunUntil([&] { return host.clock.Now() > settled; },
                  [&](milliseconds aElapsed) { Speak(aElapsed); });
  }

  /** Each of the other zones sends a digest each 500 ms. */
  void Speak(milliseconds aElapsed)
  {
    if (IsDue(aElapsed, milliseconds(500))) {
      for (const auto& speaker : speakers_) {
        speaker->SendHeartbeat(host.Port());
      }
    }
  }

  PullingHost host;

private:
  std::vector<std::unique_ptr<CatalogPeer>> speakers_;
};

// A change must be in force 2 s after its acknowledgement, and it takes up to
// 0.3 s to read it and to pass it on.
constexpr milliseconds kTakeoverBound{ 1700 };

} // namespace

// Guards against changes that come late (CONFIG) since the zones whose hosts
// watch the store have lost power, and the others believe for 2.5 s that they
// still watch.
TEST_CASE("fleet: the watch is taken over in time from zones that are lost")
{
  ZonesOnAir zones(30);
  // Hosts of four zones watch, and other zones rank higher.
  REQUIRE_FALSE(zones.host.WatchesStore());
  const milliseconds took = zones.host.RunUntil(
    [&] { return zones.host.WatchesStore(); }, [](milliseconds) {});
  CHECK(took.count() <= kTakeoverBound.count());
}

// Guards against a single host that watches the store for all zones, since each
// host that had noticed an outage of the store kept away from it for 8 s. Once
// that host's zone was lost as well, changes came late (CONFIG).
TEST_CASE("fleet: a host that lost the store watches again soon")
{
  ZonesOnAir zones(1);
  REQUIRE(zones.host.WatchesStore());
  zones.host.Source().events.onReachable(false);
  REQUIRE_FALSE(zones.host.WatchesStore());
  const milliseconds took =
    zones.host.RunUntil([&] { return zones.host.WatchesStore(); },
                        [&](milliseconds aElapsed) { zones.Speak(aElapsed); });
  CHECK(took.count() <= kTakeoverBound.count());
}
