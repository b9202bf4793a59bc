#include "core/MonotonicClock.h"
#include "fleet/FleetControl.h"
#include "platform/ObjectDecoder.h"
#include "support/FreePorts.h"
#include "support/RunUntil.h"

#include <asio/post.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

const ServiceId kService("s");

/** Notes the states that a host writes; the test plays the store's events. */
class NotingSource final : public CatalogSource
{
public:
  void SetEvents(Events aEvents) override { events = std::move(aEvents); }
  void Follow(WatchRole, const std::vector<StorePosition>&) override {}
  void ReadOnce() override {}
  void TryReach() override {}
  void NotePositions(const std::vector<StorePosition>&) override {}
  void RegisterHost(const PeerAddress&, DoneHandler) override {}
  void ListHosts(ListHandler) override {}
  void WriteRolloutStatus(const RolloutOrder&,
                          RolloutState aState,
                          DoneHandler) override
  {
    written.push_back(aState);
  }

  std::vector<RolloutState> written;
  Events events;
};

/** One of two hosts, each in a zone of its own. */
struct Host
{
  Host(asio::io_context& aContext,
       const std::string& aName,
       const Endpoint& aSelf,
       const std::vector<Endpoint>& aSeeds,
       const std::optional<RolloutLimits>& aLimits)
    : context(aContext)
  {
    HostIdentity identity;
    identity.self = { HostId(aName), ZoneId(aName), aSelf.address, aSelf.port };
    identity.incarnation = Incarnation(1);
    identity.seeds = aSeeds;
    FleetOptions options;
    options.rollouts = aLimits;
    control =
      FleetControl::Make(
        aContext, clock, identity, options, decoder, source, fleet, load)
        .value();
    control->SetEvidenceReader([this](EvidenceHandler aHandler) {
      asio::post(context, [this, handler = std::move(aHandler)] {
        handler(Evidence());
      });
    });
  }

  void Put(CatalogKind aKind,
           const std::string& aName,
           const std::string& aBody)
  {
    CatalogChanges changes;
    changes.position = { StoreEra(1), Revision(++revision) };
    CatalogItem item;
    item.name = aName;
    item.position = changes.position;
    item.body = aBody;
    changes.items.push_back(item);
    source.events.onChanges(aKind, changes);
  }

  void PutTarget(const std::string& aName,
                 const std::string& aZone,
                 const std::string& aVersion)
  {
    Put(CatalogKind::kTarget,
        aName,
        R"({"service":"s","address":"127.0.0.1:9","slots":3,"state":"ready",)"
        R"("zone":")" +
          aZone + R"(","version":")" + aVersion + "\"}");
  }

  /** What the traffic thread would count: many requests, of which it tells how
   * many of the new version's failed. */
  std::vector<RolloutEvidence> Evidence()
  {
    const auto snapshot = fleet.Get();
    const auto rollout = snapshot->rollouts.find(kService);
    if (rollout == snapshot->rollouts.end()) {
      return {};
    }
    counts.order = rollout->second.order;
    counts.step = rollout->second.step;
    counts.requests += 300;
    counts.routes.resize(1);
    RouteEvidence& route = counts.routes[0];
    route.route = 1;
    route.oldCount += 280;
    if (Share() > 0) {
      counts.newAttempts += 15;
      route.newCount += 15;
      route.newBad += newIsBad ? 8 : 0;
    }
    return { counts };
  }

  double Share() const
  {
    const auto snapshot = fleet.Get();
    const auto rollout = snapshot->rollouts.find(kService);
    if (rollout == snapshot->rollouts.end() || rollout->second.canary.empty()) {
      return 0;
    }
    return rollout->second.split->Get()->newShare;
  }

  asio::io_context& context;
  MonotonicClock clock;
  platform::ObjectDecoder decoder;
  NotingSource source;
  SnapshotCell<FleetSnapshot> fleet{ std::make_shared<const FleetSnapshot>() };
  SnapshotCell<LoadSnapshot> load{ std::make_shared<const LoadSnapshot>() };
  std::unique_ptr<FleetControl> control;
  RolloutEvidence counts;
  bool newIsBad = false;
  std::uint64_t revision = 0;
};

/** Two hosts that know the service's targets of two versions and an order. */
struct TwoHosts
{
  explicit TwoHosts(const std::optional<RolloutLimits>& aLimits)
    : ports(1)
    , a(context,
        "a",
        ports.At(0, "127.0.0.1"),
        { ports.At(0, "127.0.0.2") },
        aLimits)
    , b(context,
        "b",
        ports.At(0, "127.0.0.2"),
        { ports.At(0, "127.0.0.1") },
        aLimits)
  {
    for (Host* host : { &a, &b }) {
      host->source.events.onReachable(true);
      host->Put(CatalogKind::kConfiguration,
                "main",
                R"({"version":1,"routes":[],"services":[{"name":"s"}]})");
      // First the old targets, so that the new ones are held back.
      for (const char* version : { "v1", "v2" }) {
        for (const char* zone : { "a", "b" }) {
          host->PutTarget(std::string(zone) + version, zone, version);
        }
      }
      host->Put(CatalogKind::kRollout,
                "s",
                R"({"created":3,"spec":{"service":"s","target_version":"v2",)"
                R"("period_s":20},"status":null})");
    }
  }

  asio::io_context context;
  const FreePorts ports;
  Host a;
  Host b;
};

} // namespace

// Guards against evidence or directives that do not reach the other zone, and
// against a host that goes on after a version was found bad in both.
TEST_CASE("rollout fleet: a bad version is tried and rejected in all zones")
{
  TwoHosts fleet{ RolloutLimits() };
  CHECK(RunUntil(fleet.context,
                 [&] { return fleet.a.Share() > 0 && fleet.b.Share() > 0; }));
  CHECK(fleet.a.fleet.Get()->targets.at(kService).size() == 2);
  fleet.a.newIsBad = true;
  CHECK(RunUntil(fleet.context,
                 [&] { return fleet.a.Share() == 0 && fleet.b.Share() == 0; }));
  CHECK(RunUntil(fleet.context, [&] {
    std::vector<RolloutState> written = fleet.a.source.written;
    written.insert(written.end(),
                   fleet.b.source.written.begin(),
                   fleet.b.source.written.end());
    return std::count(
             written.begin(), written.end(), RolloutState::kRolledBack) > 0;
  }));
}

// Guards against versions that matter in a deployment without rollouts.
TEST_CASE("rollout fleet: without the settings all targets are used at once")
{
  TwoHosts fleet{ std::nullopt };
  const auto snapshot = fleet.a.fleet.Get();
  CHECK(snapshot->targets.at(kService).size() == 4);
  CHECK(snapshot->rollouts.empty());
}
