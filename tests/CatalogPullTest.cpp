#include "core/MonotonicClock.h"
#include "fleet/FleetControl.h"
#include "support/CatalogPeer.h"
#include "support/FreePorts.h"

#include <doctest/doctest.h>

using namespace lacewing;

namespace {

using std::chrono::milliseconds;

/** A store that tells nothing; keeps what the host reports to it. */
class SilentSource final : public CatalogSource
{
public:
  void SetEvents(Events) override {}
  void Follow(WatchRole aRole, const std::vector<StorePosition>&) override
  {
    role = aRole;
  }
  void ReadOnce() override {}
  void NotePositions(const std::vector<StorePosition>& aPositions) override
  {
    positions = aPositions;
  }
  void RegisterHost(const PeerAddress&, DoneHandler) override {}
  void ListHosts(ListHandler) override {}

  std::vector<StorePosition> positions;
  WatchRole role = WatchRole::kNone;
};

class EmptyDecoder final : public CatalogDecoder
{
public:
  Outcome<std::shared_ptr<const RouteTable>> DecodeConfiguration(
    const std::string&) const override
  {
    return Fail(ErrorKind::kInvalidMessage, "no configuration", "none");
  }
  Outcome<TargetSpec> DecodeTarget(const std::string&,
                                   const std::string&) const override
  {
    return Fail(ErrorKind::kInvalidMessage, "no target", "none");
  }
};

/** A host of zone "z" that learns of changes from its peers only. */
class PullingHost
{
public:
  PullingHost()
  {
    HostIdentity identity;
    identity.self = { HostId("self"), ZoneId("z"), "127.0.0.1", Port() };
    control_ = FleetControl::Make(context,
                                  clock,
                                  identity,
                                  FleetOptions(),
                                  decoder_,
                                  source_,
                                  fleet_,
                                  load_)
                 .value();
  }

  std::uint16_t Port() const { return ports_.Port(0); }

  bool WatchesStore() const { return source_.role != WatchRole::kNone; }

  bool HasReached(Revision aRevision) const
  {
    return !source_.positions.empty() &&
           source_.positions[0].revision >= aRevision;
  }

  /**
   * Runs until aCondition holds, and calls aEachStep each 10 ms with the time
   * since the call. Returns that time, at most 4 s.
   */
  template<class Condition, class Step>
  milliseconds RunUntil(Condition aCondition, Step aEachStep)
  {
    milliseconds elapsed{ 0 };
    while (!aCondition() && elapsed < milliseconds(4000)) {
      aEachStep(elapsed);
      context.restart();
      context.run_for(milliseconds(10));
      elapsed += milliseconds(10);
    }
    return elapsed;
  }

  template<class Step>
  milliseconds RunUntilReached(Revision aRevision, Step aEachStep)
  {
    return RunUntil([&] { return HasReached(aRevision); }, aEachStep);
  }

  asio::io_context context;
  const MonotonicClock clock;

private:
  const FreePorts ports_{ 1 };
  const EmptyDecoder decoder_;
  SilentSource source_;
  SnapshotCell<FleetSnapshot> fleet_{ std::make_shared<const FleetSnapshot>() };
  SnapshotCell<LoadSnapshot> load_{ std::make_shared<const LoadSnapshot>() };
  std::unique_ptr<FleetControl> control_;
};

bool IsDue(milliseconds aElapsed, milliseconds aPeriod)
{
  return aElapsed.count() % aPeriod.count() == 0;
}

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
// reaches the store.
TEST_CASE("fleet: a host that no peer answers watches the store itself")
{
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
  for (const auto& peer : mute) {
    peer->Learn(Revision(9));
  }
  const milliseconds took =
    host.RunUntil([&] { return host.WatchesStore(); }, sendHeartbeats);
  CHECK(took.count() <= kPullBound.count());
}
