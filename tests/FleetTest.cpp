#include "core/ManualClock.h"
#include "fleet/LoadPublisher.h"
#include "fleet/PeerCodec.h"
#include "fleet/PeerTable.h"
#include "fleet/RemoteZoneHosts.h"
#include "fleet/ZoneTable.h"

#include <doctest/doctest.h>

using namespace lacewing;

namespace {

PeerAddress MakeAddress(const std::string& aHost, const std::string& aZone)
{
  return { HostId(aHost), ZoneId(aZone), "127.0.0.1", 7000 };
}

PeerHeartbeat MakeHeartbeat(const std::string& aHost,
                            const std::string& aZone,
                            std::uint64_t aIncarnation = 1)
{
  PeerHeartbeat heartbeat;
  heartbeat.from = MakeAddress(aHost, aZone);
  heartbeat.incarnation = Incarnation(aIncarnation);
  heartbeat.positions.resize(3);
  return heartbeat;
}

} // namespace

// Guards against heartbeat fields that are lost or altered by encoding and
// decoding.
TEST_CASE("fleet: a heartbeat keeps its content")
{
  PeerHeartbeat heartbeat = MakeHeartbeat("h1", "z1", 77);
  heartbeat.greeting = true;
  heartbeat.storeOk = false;
  heartbeat.positions = { { StoreEra(1), Revision(4) },
                          { StoreEra(1), Revision(5) },
                          { StoreEra(2), Revision(6) } };
  heartbeat.members = { MakeAddress("h2", "z2") };
  WireReading reading;
  reading.target = TargetId("t");
  reading.slowdownPercent = 400;
  reading.coldLeft = std::chrono::milliseconds(1500);
  heartbeat.readings = { reading };
  heartbeat.zones = { { ZoneId("z1"), 4, 1, true, std::chrono::seconds(1) } };
  const auto decoded = DecodeHeartbeat(EncodeHeartbeat(heartbeat));
  REQUIRE(decoded);
  CHECK(decoded.value().from.host == HostId("h1"));
  CHECK(decoded.value().incarnation == Incarnation(77));
  CHECK(decoded.value().greeting);
  CHECK_FALSE(decoded.value().storeOk);
  CHECK(decoded.value().positions == heartbeat.positions);
  CHECK(decoded.value().members.at(0).host == HostId("h2"));
  CHECK(decoded.value().readings.at(0).slowdownPercent == 400);
  // The reading states no slots, so the target reports no load.
  CHECK_FALSE(decoded.value().readings.at(0).ToReading(TimePoint()).load);
  CHECK(decoded.value().zones.at(0).alive == 4);
  CHECK(decoded.value().readings.at(0).coldLeft ==
        std::chrono::milliseconds(1500));
}

// Guards against a malformed datagram that crashes the control thread.
TEST_CASE("fleet: bytes that are not a heartbeat are refused")
{
  const std::string complete = EncodeHeartbeat(MakeHeartbeat("h1", "z1"));
  for (std::size_t i = 0; i < complete.size(); ++i) {
    CHECK_FALSE(DecodeHeartbeat(complete.substr(0, i)));
    std::string flipped = complete;
    flipped[i] = static_cast<char>(flipped[i] ^ 0x55);
    (void)DecodeHeartbeat(flipped);
  }
}

// Guards against a large configuration that occupies a slow link for seconds
// (CONFIG on trinacria-badges-grown trouble-3), and against compressed bytes
// that expand without a limit.
TEST_CASE("fleet: pulls are compressed and bounded")
{
  std::string configuration = "{\"routes\":[";
  for (int i = 0; i < 850; ++i) {
    configuration += R"({"host":"cuse46.example","kind":"safe","name":"r-)" +
                     std::to_string(i) + R"(","path_prefix":"/lemi)" +
                     std::to_string(i * 37) +
                     R"(/","timeout_s":1.2,"service":"yezi9a"},)";
  }
  CatalogPullResponse pull;
  pull.parts.resize(3);
  pull.parts[0].items = { { "main",
                            { StoreEra(1), Revision(7) },
                            false,
                            configuration,
                            { Incarnation(3), WriteCount(9) },
                            true } };
  const std::string packed = EncodePullResponse(pull);
  CHECK(packed.size() < configuration.size() / 5);
  const auto unpacked = DecodePullResponse(packed);
  REQUIRE(unpacked);
  CHECK(unpacked.value().parts[0].items[0].body == configuration);
  CHECK_FALSE(DecodePullResponse(packed.substr(0, packed.size() / 2)));
  CHECK_FALSE(DecodePullResponse("no packed bytes"));
  pull.parts[0].items[0].body.assign(9U << 20U, 'x');
  CHECK_FALSE(DecodePullResponse(EncodePullResponse(pull)));
}

// Guards against leaving tasks with an unresponsive host, and against cold
// quotas that ignore that it may still be running behind a network partition.
TEST_CASE(
  "fleet: an unresponsive host loses its tasks and counts as partitioned")
{
  ManualClock clock;
  PeerTable peers(MakeAddress("self", "z1"));
  CHECK(peers.OnHeartbeat(MakeHeartbeat("near", "z1"), clock.Now()));
  CHECK(peers.Candidates(clock.Now(), false).size() == 2);
  clock.Advance(std::chrono::milliseconds(900));
  CHECK(peers.Candidates(clock.Now(), false).size() == 1);
  CHECK(peers.UnresponsiveHosts(clock.Now()) == 1);
  clock.Advance(std::chrono::seconds(40));
  CHECK(peers.UnresponsiveHosts(clock.Now()) == 0);
}

// Guards against a zone that takes over another zone's targets too early, and
// against cold quotas that ignore the hosts of a zone behind a network
// partition.
TEST_CASE("fleet: an unresponsive zone's hosts count as partitioned")
{
  ManualClock clock;
  ZoneTable zones(clock.Now());
  zones.Learn(ZoneId("listed"));
  zones.Merge({ ZoneId("far"), 5, 1, true, std::chrono::milliseconds(100) },
              clock.Now());
  CHECK(zones.Alive(clock.Now()).size() == 2);
  CHECK(zones.UnresponsiveHosts(clock.Now()) == 1);
  // An older digest that arrives by another path changes nothing.
  zones.Merge({ ZoneId("far"), 0, 0, false, std::chrono::milliseconds(400) },
              clock.Now());
  CHECK(zones.Fresh(clock.Now()).at(0).alive == 5);
  clock.Advance(std::chrono::seconds(3));
  CHECK(zones.Alive(clock.Now()).empty());
  CHECK(zones.UnresponsiveHosts(clock.Now()) == 6);
  clock.Advance(std::chrono::seconds(40));
  CHECK(zones.UnresponsiveHosts(clock.Now()) == 0);
}

// Guards against zones that lose contact with each other. A digest goes to the
// other zone's speakers, to the highest-ranked listed hosts while no speaker is
// known, and now and then to all listed hosts.
TEST_CASE("fleet: digests reach a zone whichever host is its speaker")
{
  ManualClock clock;
  RemoteZoneHosts far;
  for (int i = 0; i < 9; ++i) {
    far.Learn(MakeAddress("h" + std::to_string(i), "z2"));
  }
  CHECK(far.Recipients(clock.Now(), false).size() == 2);
  CHECK(far.Recipients(clock.Now(), true).size() == 9);
  far.OnSpeaker(MakeAddress("new", "z2"), clock.Now());
  REQUIRE(far.Recipients(clock.Now(), false).size() == 1);
  CHECK(far.Recipients(clock.Now(), false).at(0).host == HostId("new"));
  clock.Advance(std::chrono::seconds(5));
  CHECK(far.Recipients(clock.Now(), false).size() == 2);
}

// Guards against giving tasks to a host that is shutting down gracefully.
TEST_CASE(
  "fleet: a leaving host gets no tasks and does not count as partitioned")
{
  ManualClock clock;
  PeerTable peers(MakeAddress("self", "z1"));
  PeerHeartbeat heartbeat = MakeHeartbeat("near", "z1");
  heartbeat.leaving = true;
  CHECK(peers.OnHeartbeat(heartbeat, clock.Now()));
  CHECK(peers.Candidates(clock.Now(), false).size() == 1);
  clock.Advance(std::chrono::seconds(2));
  CHECK(peers.UnresponsiveHosts(clock.Now()) == 0);
}

// Guards against a delayed datagram from a host's earlier run that replaces the
// state of its current run.
TEST_CASE("fleet: a heartbeat of an earlier run is ignored")
{
  ManualClock clock;
  PeerTable peers(MakeAddress("self", "z1"));
  CHECK(peers.OnHeartbeat(MakeHeartbeat("near", "z1", 9), clock.Now()));
  CHECK_FALSE(peers.OnHeartbeat(MakeHeartbeat("near", "z1", 3), clock.Now()));
  CHECK(peers.Alive(clock.Now()).at(0)->incarnation == Incarnation(9));
}

// Guards against ignoring a host forever that restarts after its system date
// was set back: its incarnation is then lower than that of its earlier run.
TEST_CASE("fleet: a restarted host is accepted though its date went back")
{
  ManualClock clock;
  PeerTable peers(MakeAddress("self", "z1"));
  CHECK(peers.OnHeartbeat(MakeHeartbeat("near", "z1", 9), clock.Now()));
  clock.Advance(std::chrono::seconds(3));
  CHECK(peers.OnHeartbeat(MakeHeartbeat("near", "z1", 3), clock.Now()));
  CHECK(peers.Alive(clock.Now()).size() == 1);
}

// Guards against a process that ends by itself and is back before anyone misses
// it, so that nothing tells its end from a stop.
TEST_CASE("fleet: a restart is reported once, with whether it was announced")
{
  ManualClock clock;
  PeerTable peers(MakeAddress("self", "z1"));
  peers.OnHeartbeat(MakeHeartbeat("near", "z1", 1), clock.Now());
  clock.Advance(std::chrono::seconds(3));
  // The same run after a network partition.
  peers.OnHeartbeat(MakeHeartbeat("near", "z1", 1), clock.Now());
  CHECK(peers.TakeRestarts().empty());
  peers.OnHeartbeat(MakeHeartbeat("near", "z1", 2), clock.Now());
  peers.OnHeartbeat(MakeHeartbeat("near", "z1", 2), clock.Now());
  peers.OnHeartbeat(MakeHeartbeat("near", "z1", 1), clock.Now());
  auto restarts = peers.TakeRestarts();
  REQUIRE(restarts.size() == 1);
  CHECK(restarts.at(0).host == HostId("near"));
  CHECK_FALSE(restarts.at(0).announced);
  PeerHeartbeat leaving = MakeHeartbeat("near", "z1", 2);
  leaving.leaving = true;
  peers.OnHeartbeat(leaving, clock.Now());
  peers.OnHeartbeat(MakeHeartbeat("near", "z1", 3), clock.Now());
  restarts = peers.TakeRestarts();
  REQUIRE(restarts.size() == 1);
  CHECK(restarts.at(0).announced);
  CHECK(peers.TakeRestarts().empty());
}

// Guards against taking a restarted target for warm because of a reading that
// was measured before its restart.
TEST_CASE("fleet: readings from before a target's start are dropped")
{
  ManualClock clock;
  SnapshotCell<LoadSnapshot> cell{ std::make_shared<const LoadSnapshot>() };
  LoadPublisher board(cell);
  LoadReading reading;
  reading.target = TargetId("t");
  reading.measuredAt = clock.Now();
  board.AddReading(reading);
  board.Publish();
  CHECK(cell.Get()->Find(TargetId("t")) != nullptr);
  clock.Advance(std::chrono::milliseconds(10));
  board.DiscardBefore(TargetId("t"), clock.Now());
  board.AddReading(reading);
  board.Publish();
  CHECK(cell.Get()->Find(TargetId("t")) == nullptr);
  reading.measuredAt = clock.Now();
  board.AddReading(reading);
  board.Publish();
  CHECK(cell.Get()->Find(TargetId("t")) != nullptr);
}
