#include "fleet/FleetControl.h"
#include "core/MonotonicClock.h"
#include "fleet/PeerCodec.h"
#include "support/FreePorts.h"

#include <asio/ip/udp.hpp>
#include <asio/post.hpp>
#include <doctest/doctest.h>

using namespace lacewing;

namespace {

/** A source for a store that is in reach; counts what a host asks of it. */
class CountingSource final : public CatalogSource
{
public:
  explicit CountingSource(asio::io_context& aContext)
    : context_(aContext)
  {
  }

  void SetEvents(Events aEvents) override { events = std::move(aEvents); }
  void Follow(WatchRole aRole, const std::vector<StorePosition>&) override
  {
    watches += aRole == WatchRole::kNone ? 0 : 1;
  }
  void ReadOnce() override { ++reads; }
  void TryReach() override {}
  void NotePositions(const std::vector<StorePosition>&) override {}
  void RegisterHost(const PeerAddress&, DoneHandler aHandler) override
  {
    ++registrations;
    asio::post(context_, [handler = std::move(aHandler)] {
      handler(outcome::success());
    });
  }
  void ListHosts(ListHandler) override {}

  int reads = 0;
  int watches = 0;
  int registrations = 0;
  Events events;

private:
  asio::io_context& context_;
};

/** Fails to decode any object. */
class FailingDecoder final : public CatalogDecoder
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

constexpr int kHosts = 60;

/** A host of zone "z" among kHosts others, which the test plays itself. */
class StartingHost
{
public:
  explicit StartingHost(const FleetOptions& aOptions = FleetOptions())
    : ports_(1)
  {
    HostIdentity identity;
    identity.self = {
      HostId("self"), ZoneId("z"), "127.0.0.1", ports_.Port(0)
    };
    control_ =
      FleetControl::Make(
        context, clock_, identity, aOptions, decoder_, source, fleet, load_)
        .value();
  }

  static PeerAddress Peer(int aNumber)
  {
    return {
      HostId("h" + std::to_string(aNumber)), ZoneId("z"), "127.0.0.1", 9
    };
  }

  void SendHeartbeat(int aFrom,
                     std::vector<PeerAddress> aMembers = {},
                     Incarnation aIncarnation = Incarnation(1))
  {
    PeerHeartbeat heartbeat;
    heartbeat.from = Peer(aFrom);
    heartbeat.incarnation = aIncarnation;
    heartbeat.storeOk = true;
    heartbeat.members = std::move(aMembers);
    heartbeat.positions.resize(kCatalogKinds.size());
    peer_.send_to(asio::buffer(EncodeHeartbeat(heartbeat)),
                  { asio::ip::address_v4::loopback(), ports_.Port(0) });
  }

  void RunFor(std::chrono::milliseconds aTime)
  {
    context.restart();
    context.run_for(aTime);
  }

  /** Whether the metrics page has aLine. */
  bool Shows(const std::string& aLine) const
  {
    return control_->MetricsText().find("\n" + aLine + "\n") !=
           std::string::npos;
  }

  asio::io_context context;
  CountingSource source{ context };
  SnapshotCell<FleetSnapshot> fleet{ std::make_shared<const FleetSnapshot>() };

private:
  const FreePorts ports_;
  const MonotonicClock clock_;
  const FailingDecoder decoder_;
  SnapshotCell<LoadSnapshot> load_{ std::make_shared<const LoadSnapshot>() };
  std::unique_ptr<FleetControl> control_;
  asio::ip::udp::socket peer_{ context, asio::ip::udp::v4() };
};

} // namespace

// Guards against a start of many hosts in which each takes itself for the
// highest of its zone, since it has not heard the others yet, registers itself
// and watches the store: 106 changes of role and 443 priced calls in the first
// 12 s of 472 hosts.
TEST_CASE("fleet: a starting host hears its zone before it watches the store")
{
  StartingHost host;
  std::vector<PeerAddress> members;
  for (int i = 1; i < kHosts; ++i) {
    members.push_back(StartingHost::Peer(i));
  }
  host.SendHeartbeat(0, members);
  host.RunFor(std::chrono::milliseconds(700));
  for (int i = 0; i < kHosts; ++i) {
    host.SendHeartbeat(i);
  }
  host.RunFor(std::chrono::milliseconds(700));
  CHECK(host.source.watches == 0);
  CHECK(host.source.registrations == 0);
}

// Guards against a lone host, or one that hears nobody, that never watches.
TEST_CASE("fleet: a host without peers watches the store soon")
{
  StartingHost host;
  host.RunFor(std::chrono::milliseconds(700));
  CHECK(host.source.watches == 1);
}

// Guards against a host that no starting host finds in the store, since the
// store came back from a copy without its object.
TEST_CASE("fleet: a watching host registers again in a new era of the store")
{
  StartingHost host;
  host.RunFor(std::chrono::milliseconds(700));
  REQUIRE(host.source.registrations == 1);
  const auto list = [&](std::uint64_t aEra) {
    CatalogChanges changes;
    changes.full = true;
    changes.position = { StoreEra(aEra), Revision(9) };
    host.source.events.onChanges(CatalogKind::kConfiguration, changes);
    host.RunFor(std::chrono::milliseconds(50));
  };
  list(1);
  CHECK(host.source.registrations == 1);
  list(2);
  CHECK(host.source.registrations == 2);
  list(2);
  CHECK(host.source.registrations == 2);
}

// Guards against one list of the whole store by each of hundreds of hosts at
// the first start of a deployment, when no callers wait for it, and against a
// host that waits for its peers while callers come.
TEST_CASE(
  "fleet: only a host that starts among callers reads the store at once")
{
  FleetOptions firstStart;
  firstStart.firstStart = true;
  StartingHost first(firstStart);
  first.RunFor(std::chrono::milliseconds(1500));
  CHECK(first.source.reads == 0);
  CHECK(first.source.watches == 0);
  first.RunFor(std::chrono::milliseconds(2000));
  CHECK(first.source.reads == 1);
  CHECK(first.source.watches == 1);
  StartingHost later;
  later.RunFor(std::chrono::milliseconds(200));
  CHECK(later.source.reads == 1);
}

// Guards against an end of a peer's process that no metric shows.
TEST_CASE("fleet: a peer's restart without an announced stop is counted")
{
  StartingHost host;
  host.SendHeartbeat(1);
  host.RunFor(std::chrono::milliseconds(150));
  CHECK(host.Shows("lacewing_hosts_restarted_total{announced=\"no\"} 0"));
  host.SendHeartbeat(1, {}, Incarnation(2));
  host.RunFor(std::chrono::milliseconds(150));
  CHECK(host.Shows("lacewing_hosts_restarted_total{announced=\"no\"} 1"));
  CHECK(host.Shows("lacewing_hosts_restarted_total{announced=\"yes\"} 0"));
}

// Guards against rebuilding all targets once for each of many hosts that join
// or leave together. At 300 hosts and 3,001 targets that raised the load of the
// busiest processor from 24 to 28 per cent.
TEST_CASE("fleet: hosts that join together cause few rebuilds")
{
  StartingHost host;
  const MonotonicClock clock;
  for (int i = 0; i < kHosts; ++i) {
    host.SendHeartbeat(i);
  }
  int published = 0;
  auto last = host.fleet.Get();
  const TimePoint end = clock.Now() + std::chrono::milliseconds(500);
  while (clock.Now() < end) {
    host.context.run_one_for(std::chrono::milliseconds(5));
    const auto now = host.fleet.Get();
    published += now == last ? 0 : 1;
    last = now;
  }
  CHECK(last->hosts == kHosts + 1);
  // At most one snapshot is published per step of 100 ms.
  CHECK(published <= 5);
}
