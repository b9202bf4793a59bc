#include "catalog/CatalogReplica.h"
#include "core/ManualClock.h"
#include "fleet/CatalogPullServer.h"
#include "fleet/CatalogView.h"
#include "fleet/PeerCodec.h"
#include "fleet/PullRequest.h"
#include "platform/ObjectDecoder.h"
#include "support/CheckProperty.h"

#include <asio/io_context.hpp>
#include <doctest/doctest.h>

#include <algorithm>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeed = 20261205;

/** A position of the era before (1) or after (2) the return from a copy. */
StorePosition At(std::uint64_t aEra, std::uint64_t aRevision)
{
  return { StoreEra(aEra), Revision(aRevision) };
}

CatalogItem Target(const std::string& aName,
                   StorePosition aPosition,
                   std::uint64_t aSequence,
                   const std::string& aState = "ready")
{
  CatalogItem item;
  item.name = aName;
  item.position = aPosition;
  item.writer = { Incarnation(7), WriteCount(aSequence) };
  item.body = R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":3,)"
              R"("born":7,"state":")" +
              aState + "\"}";
  return item;
}

CatalogItem Configuration(StorePosition aPosition, std::uint64_t aVersion)
{
  CatalogItem item;
  item.name = "main";
  item.position = aPosition;
  item.writer.count = WriteCount(aVersion);
  item.body = R"({"routes":[],"version":)" + std::to_string(aVersion) + "}";
  return item;
}

CatalogItem Removal(const std::string& aName, StorePosition aPosition)
{
  CatalogItem item;
  item.name = aName;
  item.position = aPosition;
  item.removed = true;
  return item;
}

CatalogItem ZoneOut(const std::string& aName, StorePosition aPosition)
{
  CatalogItem item;
  item.name = aName;
  item.position = aPosition;
  item.body = "{}";
  return item;
}

/** A host's copy of the catalog and its view of it. */
struct Host
{
  void List(CatalogKind aKind,
            StorePosition aPosition,
            std::vector<CatalogItem> aItems)
  {
    Apply(aKind, { true, aPosition, std::move(aItems) });
  }

  void Change(CatalogKind aKind, const CatalogItem& aItem)
  {
    Apply(aKind, { false, aItem.position, { aItem } });
  }

  void PullFrom(const Host& aPeer)
  {
    for (const CatalogKind kind : kCatalogKinds) {
      Apply(kind, aPeer.replica.Since(kind, replica.PositionOf(kind)));
    }
  }

  void Apply(CatalogKind aKind, const CatalogChanges& aChanges)
  {
    replica.Apply(aKind, aChanges);
    view.Update(replica);
  }

  void Wait(Duration aTime)
  {
    clock.Advance(aTime);
    if (view.Outdated()) {
      view.Update(replica);
    }
  }

  bool Uses(const std::string& aTarget) const
  {
    const std::vector<TargetSpec> usable = view.UsableTargets();
    return std::any_of(usable.begin(), usable.end(), [&](const auto& aSpec) {
      return aSpec.id == TargetId(aTarget);
    });
  }

  std::uint64_t Version() const
  {
    return view.Routes() ? view.Routes()->Version().value() : 0;
  }

  ManualClock clock;
  platform::ObjectDecoder decoder;
  CatalogReplica replica;
  CatalogView view{ decoder, clock };
};

constexpr CatalogKind kConfig = CatalogKind::kConfiguration;
constexpr CatalogKind kTarget = CatalogKind::kTarget;

} // namespace

// Guards against a host that starts after the return and believes the copy's
// configuration, though its peers have a later one in force.
TEST_CASE("restored store: a configuration in force outlives the copy")
{
  Host peer;
  peer.Change(kConfig, Configuration(At(1, 20), 7));
  peer.List(kConfig, At(2, 10), { Configuration(At(2, 9), 5) });
  CHECK(peer.Version() == 7);
  Host started;
  started.List(kConfig, At(0, 10), { Configuration(At(0, 9), 5) });
  CHECK(started.Version() == 5);
  started.PullFrom(peer);
  CHECK(started.Version() == 7);
  // The operator writes the lost version again, then the next one.
  peer.Change(kConfig, Configuration(At(2, 11), 7));
  peer.Change(kConfig, Configuration(At(2, 12), 8));
  started.PullFrom(peer);
  CHECK(started.Version() == 8);
}

// Guards against an empty copy that leaves hosts without a configuration.
TEST_CASE("restored store: a copy without a configuration takes none away")
{
  Host host;
  host.Change(kConfig, Configuration(At(1, 20), 7));
  host.List(kConfig, At(2, 10), {});
  CHECK(host.Version() == 7);
  Host started;
  started.PullFrom(host);
  CHECK(started.Version() == 7);
}

// Guards against requests to a draining target because the copy is from before
// it began to drain.
TEST_CASE("restored store: a draining target stays draining")
{
  Host host;
  host.Change(kTarget, Target("t", At(1, 15), 4));
  host.Change(kTarget, Target("t", At(1, 20), 5, "draining"));
  host.List(kTarget, At(2, 17), { Target("t", At(2, 15), 4) });
  CHECK_FALSE(host.Uses("t"));
  Host started;
  started.PullFrom(host);
  CHECK_FALSE(started.Uses("t"));
  // A new start of the target under the same id takes over.
  CatalogItem restarted = Target("t", At(2, 18), 1);
  restarted.writer.incarnation = Incarnation(8);
  host.Change(kTarget, restarted);
  CHECK(host.Uses("t"));
}

// Guards against dropping targets that registered after the copy was made and
// have not written their entries again yet, and against keeping those that do
// not come back.
TEST_CASE("restored store: targets that the copy lacks have time to return")
{
  Host host;
  host.List(kTarget,
            At(1, 20),
            { Target("back", At(1, 18), 1), Target("lost", At(1, 19), 1) });
  host.List(kTarget, At(2, 10), {});
  Host peer;
  peer.Change(kTarget, Target("lost", At(1, 19), 1));
  peer.PullFrom(host);
  host.Wait(2000ms);
  peer.Wait(2000ms);
  CHECK(host.Uses("back"));
  CHECK(host.Uses("lost"));
  CHECK(peer.Uses("lost"));
  host.Change(kTarget, Target("back", At(2, 11), 2));
  host.Wait(600ms);
  peer.Wait(600ms);
  CHECK(host.Uses("back"));
  CHECK_FALSE(host.Uses("lost"));
  CHECK_FALSE(peer.Uses("lost"));
}

// Guards against requests to a target that has left, whose entry the copy has
// brought back, and against ignoring it for good if it is alive.
TEST_CASE("restored store: a target that left is used again once it writes")
{
  for (const bool writes : { true, false }) {
    Host host;
    host.Change(kTarget, Target("t", At(1, 15), 4));
    host.Change(kTarget, Removal("t", At(1, 20)));
    CHECK_FALSE(host.Uses("t"));
    host.List(kTarget, At(2, 17), { Target("t", At(2, 15), 4) });
    CHECK_FALSE(host.Uses("t"));
    Host started;
    started.PullFrom(host);
    CHECK_FALSE(started.Uses("t"));
    if (writes) {
      host.Change(kTarget, Target("t", At(2, 18), 5));
    } else {
      // The store keeps the entry, so the target is alive.
      host.Wait(6000ms);
    }
    CHECK(host.Uses("t"));
  }
}

// Guards against requests to a zone whose evacuation the copy lacks.
TEST_CASE("restored store: a zone stays out until its object can be back")
{
  Host host;
  host.List(kTarget, At(1, 10), { Target("t", At(1, 5), 1) });
  host.Change(CatalogKind::kZoneOut, ZoneOut("z", At(1, 20)));
  CHECK_FALSE(host.Uses("t"));
  host.List(CatalogKind::kZoneOut, At(2, 10), {});
  host.Wait(2000ms);
  CHECK_FALSE(host.Uses("t"));
  host.Wait(600ms);
  CHECK(host.Uses("t"));
}

// Guards against hosts that disagree for good, or go back to an older
// configuration, because they learn of the new era at different times and from
// different sources.
TEST_CASE("restored store: hosts agree however they learn of the new era")
{
  CHECK(Holds("restored store", kSeed, 300, 40, [] {
    const auto copyAt = *rc::gen::inRange<std::uint64_t>(1, 10);
    const auto lost = *rc::gen::inRange<std::uint64_t>(1, 30);
    const auto added = *rc::gen::inRange<std::uint64_t>(1, 40);
    std::vector<Host> hosts(3);
    std::uint64_t version = 0;
    std::uint64_t revision = 0;
    for (const std::uint64_t era : { 1U, 2U }) {
      const std::uint64_t last = era == 1 ? copyAt + lost : copyAt + added;
      // The operator writes versions that it knows to be the next.
      for (revision = era == 1 ? 1 : copyAt; revision <= last; ++revision) {
        const bool copy = era == 2 && revision == copyAt;
        const std::uint64_t written = copy ? copyAt : ++version;
        const CatalogItem item = Configuration(At(era, revision), written);
        const std::size_t reader = *rc::gen::inRange<std::size_t>(0, 3);
        const std::size_t puller = *rc::gen::inRange<std::size_t>(0, 3);
        const std::uint64_t before = hosts[puller].Version();
        if (*rc::gen::inRange(0, 2) == 0) {
          hosts[reader].List(kConfig, item.position, { item });
        } else {
          hosts[puller].PullFrom(hosts[reader]);
        }
        RC_ASSERT(hosts[puller].Version() >= before);
      }
    }
    const CatalogItem final = Configuration(At(2, revision), ++version);
    hosts[0].List(kConfig, final.position, { final });
    hosts[1].PullFrom(hosts[0]);
    hosts[2].PullFrom(hosts[1]);
    for (const Host& host : hosts) {
      RC_ASSERT(host.Version() == version);
    }
  }));
}

// Guards against dropping targets at once because a copy lacks more of them
// than removals are stored.
TEST_CASE(
  "restored store: many targets that the copy lacks have time to return")
{
  Host host;
  std::vector<CatalogItem> targets;
  for (std::uint64_t target = 0; target < 600; ++target) {
    targets.push_back(Target("t" + std::to_string(target), At(1, target), 1));
  }
  host.List(kTarget, At(1, 700), targets);
  CHECK(host.view.UsableTargets().size() == 600);
  host.List(kTarget, At(2, 10), {});
  CHECK(host.view.UsableTargets().size() == 600);
  host.Wait(2600ms);
  CHECK(host.view.UsableTargets().empty());
}

// Guards against a peer that gets all objects instead of the removals and
// takes targets that expired in an outage for gone.
TEST_CASE("restored store: a full pull passes on that a removal may be undone")
{
  Host host;
  Host peer;
  host.List(kTarget, At(1, 10), { Target("t", At(1, 5), 1) });
  peer.PullFrom(host);
  for (std::uint64_t old = 0; old < 600; ++old) {
    host.Change(kTarget, Removal("o" + std::to_string(old), At(1, 20 + old)));
  }
  host.Apply(kTarget,
             { false, At(1, 700), { Removal("t", At(1, 700)) }, true });
  CHECK(host.Uses("t"));
  peer.PullFrom(host);
  CHECK(peer.Uses("t"));
}

// Guards against dropping targets whose time to write again was cut short by
// another return.
TEST_CASE("restored store: a second return renews the time to write again")
{
  Host host;
  host.List(kTarget, At(1, 20), { Target("t", At(1, 18), 1) });
  host.List(kTarget, At(2, 10), {});
  host.Wait(1500ms);
  host.List(kTarget, At(3, 8), {});
  Host peer;
  peer.Change(kTarget, Target("t", At(1, 18), 1));
  peer.PullFrom(host);
  host.Wait(2000ms);
  CHECK(host.Uses("t"));
  host.Wait(600ms);
  CHECK_FALSE(host.Uses("t"));
}

// Guards against requests to a target that has left because a second copy
// brings its entry back once more.
TEST_CASE("restored store: a second return does not confirm a target that left")
{
  Host host;
  host.Change(kTarget, Target("t", At(1, 15), 4));
  host.Change(kTarget, Removal("t", At(1, 20)));
  host.List(kTarget, At(2, 17), { Target("t", At(2, 15), 4) });
  CHECK_FALSE(host.Uses("t"));
  host.Wait(1000ms);
  host.List(kTarget, At(3, 16), { Target("t", At(3, 15), 4) });
  CHECK_FALSE(host.Uses("t"));
}

// Guards against dropping a target in use that one copy lacks and the next one
// has.
TEST_CASE("restored store: a target in use that is back stays in use")
{
  Host host;
  host.List(kTarget, At(1, 20), { Target("t", At(1, 18), 1) });
  host.List(kTarget, At(2, 10), {});
  host.Wait(1000ms);
  CHECK(host.Uses("t"));
  host.List(kTarget, At(3, 19), { Target("t", At(3, 18), 1) });
  CHECK(host.Uses("t"));
}

// Guards against requests to a draining target whose removal was in doubt when
// a copy from before its drain came back.
TEST_CASE("restored store: a target that drained is not in use when it is back")
{
  Host host;
  host.Change(kTarget, Target("t", At(1, 15), 4));
  host.Change(kTarget, Target("t", At(1, 20), 5, "draining"));
  host.List(kTarget, At(2, 10), {});
  host.List(kTarget, At(3, 17), { Target("t", At(3, 15), 4) });
  CHECK_FALSE(host.Uses("t"));
}

// Guards against hosts that reached the same position of the new era with
// different states, one of them with a state that the store has lost.
TEST_CASE(
  "restored store: a state that the copy lacks reaches hosts that listed")
{
  Host host;
  host.Change(kConfig, Configuration(At(1, 20), 7));
  host.List(kConfig, At(2, 10), { Configuration(At(2, 9), 5) });
  host.Change(kTarget, Target("t", At(1, 15), 4));
  host.Change(kTarget, Target("t", At(1, 20), 5, "draining"));
  host.List(kTarget, At(2, 17), { Target("t", At(2, 15), 4) });
  Host started;
  started.List(kConfig, At(2, 10), { Configuration(At(2, 9), 5) });
  started.List(kTarget, At(2, 17), { Target("t", At(2, 15), 4) });
  started.PullFrom(host);
  CHECK(started.Version() == 7);
  CHECK_FALSE(started.Uses("t"));
}

// Guards against a host that passes on a response from before it took a state
// from a peer, which does not advance its position.
TEST_CASE("restored store: a pull's response is not older than its objects")
{
  asio::io_context context;
  Host host;
  host.List(kConfig, At(2, 10), { Configuration(At(2, 9), 5) });
  CatalogPullServer server;
  HttpMessage request;
  request.head.target = std::string(kPullPath) + "?after=0.0,0.0,0.0";
  const auto versionPulled = [&] {
    const auto pull =
      DecodePullResponse(server.HandleRequest(request, host.replica).body);
    return pull.value().parts[IndexOf(kConfig)].items.at(0).writer.count;
  };
  CHECK(versionPulled() == WriteCount(5));
  host.Apply(kConfig, { true, At(2, 10), { Configuration(At(1, 20), 7) } });
  CHECK(versionPulled() == WriteCount(7));
}

// Guards against a target that a host keeps for good because the peer that it
// pulls from started after the return and has no removal of it.
TEST_CASE("restored store: a peer that started later tells what the copy lacks")
{
  Host host;
  host.List(kTarget, At(1, 20), { Target("lost", At(1, 19), 1) });
  Host started;
  started.List(kTarget, At(2, 10), {});
  host.PullFrom(started);
  CHECK(host.Uses("lost"));
  host.Wait(2600ms);
  CHECK_FALSE(host.Uses("lost"));
}
