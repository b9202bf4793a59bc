#include "support/CatalogPeer.h"
#include "support/PullingHost.h"

#include <doctest/doctest.h>

using namespace lacewing;

namespace {

using std::chrono::milliseconds;

// A change must be in force 2 s after its acknowledgement. Watchers that take
// over may need 1.2 s of that.
constexpr milliseconds kPullBound{ 800 };

} // namespace

// Guards against a configuration that comes into force too late (CONFIG) since
// the host pulls it again and again from a peer that reports it and does not
// answer, as behind a cut in one direction, while another peer would answer.
TEST_CASE("fleet: a peer that does not answer pulls keeps back no change")
{
  PullingHost host;
  CatalogPeer mute(host.context, "a");
  CatalogPeer sound(host.context, "b");
  sound.Serve();
  for (CatalogPeer* peer : { &mute, &sound }) {
    peer->SendHeartbeat(host.Port());
    peer->Learn(Revision(9));
  }
  const milliseconds took =
    host.RunUntilReached(Revision(9), [&](milliseconds aElapsed) {
      if (IsDue(aElapsed, milliseconds(100))) {
        mute.SendHeartbeat(host.Port());
      }
      // The period of heartbeats in a zone of 70 hosts.
      if (IsDue(aElapsed, milliseconds(1000))) {
        sound.SendHeartbeat(host.Port());
      }
    });
  CHECK(took.count() <= kPullBound.count());
}

// Guards against the same when several peers do not answer: each of them must
// not add the timeout of a pull.
TEST_CASE("fleet: the time lost to peers that do not answer is bounded")
{
  PullingHost host;
  std::vector<std::unique_ptr<CatalogPeer>> mute;
  for (const char* name : { "a", "b", "c" }) {
    mute.push_back(std::make_unique<CatalogPeer>(host.context, name));
    mute.back()->Learn(Revision(9));
  }
  CatalogPeer sound(host.context, "d");
  sound.Serve();
  sound.Learn(Revision(9));
  const milliseconds took =
    host.RunUntilReached(Revision(9), [&](milliseconds aElapsed) {
      if (IsDue(aElapsed, milliseconds(200))) {
        for (const auto& peer : mute) {
          peer->SendHeartbeat(host.Port());
        }
        sound.SendHeartbeat(host.Port());
      }
    });
  CHECK(took.count() <= kPullBound.count());
}

// Guards against a host that hears its peers and cannot reach them, as behind a
// cut in one direction, and that keeps an old configuration (CONFIG) though it
// reaches the store, or reaches it again after an outage.
TEST_CASE("fleet: a host that no peer answers watches the store itself")
{
  for (const bool hadLostStore : { false, true }) {
    CAPTURE(hadLostStore);
    PullingHost host;
    std::vector<std::unique_ptr<CatalogPeer>> mute;
    for (const char* name : { "a", "b", "c", "d", "e", "f", "g", "h" }) {
      mute.push_back(std::make_unique<CatalogPeer>(host.context, name));
    }
    const auto sendHeartbeats = [&](milliseconds aElapsed) {
      if (IsDue(aElapsed, milliseconds(200))) {
        for (const auto& peer : mute) {
          peer->SendHeartbeat(host.Port());
        }
      }
    };
    const TimePoint settled = host.clock.Now() + milliseconds(1500);
    host.RunUntil([&] { return host.clock.Now() > settled; }, sendHeartbeats);
    REQUIRE_FALSE(host.WatchesStore());
    if (hadLostStore) {
      host.Source().events.onReachable(false);
    }
    for (const auto& peer : mute) {
      peer->Learn(Revision(9));
    }
    const milliseconds took =
      host.RunUntil([&] { return host.WatchesStore(); }, sendHeartbeats);
    // A store that was lost is tried again after 1 s.
    CHECK(took.count() <= (hadLostStore ? 1400 : kPullBound.count()));
  }
}

// Guards against a change that waits up to 0.5 s for the next digest on its way
// to zones without a watcher, since the speaker got it from a peer.
TEST_CASE("fleet: a speaker passes a change on to other zones at once")
{
  PullingHost host;
  CatalogPeer watcher(host.context, "a");
  watcher.Serve();
  CatalogPeer remote(host.context, "s", "y");
  remote.zones.resize(1);
  remote.zones[0].zone = ZoneId("y");
  const auto speak = [&](milliseconds aElapsed) {
    if (IsDue(aElapsed, milliseconds(200))) {
      watcher.SendHeartbeat(host.Port());
      remote.SendHeartbeat(host.Port());
    }
  };
  for (const Revision revision : { Revision(9), Revision(19), Revision(29) }) {
    const TimePoint settled = host.clock.Now() + milliseconds(650);
    host.RunUntil([&] { return host.clock.Now() > settled; }, speak);
    watcher.Learn(revision);
    watcher.SendHeartbeat(host.Port());
    const auto told = [&] {
      remote.ReadDatagrams();
      return !remote.heard.empty() && remote.heard[0].revision == revision;
    };
    CHECK(host.RunUntil(told, speak).count() <= 200);
  }
}
