#include "platform/PlatformStore.h"
#include "catalog/CatalogReplica.h"
#include "core/MonotonicClock.h"
#include "support/RunUntil.h"
#include "support/StoreStandin.h"

#include <doctest/doctest.h>

#include <map>
#include <optional>

using namespace lacewing;

namespace {

/** A store, its client, and the catalog that the client's events make. */
struct Fixture
{
  Fixture()
    : store(context, { "127.0.0.1", 0 })
    , client(context, clock, store.Address())
  {
    CatalogSource::Events events;
    events.onChanges = [this](CatalogKind aKind,
                              const CatalogChanges& aChanges) {
      replica.Apply(aKind, aChanges);
    };
    events.onReachable = [this](bool aReachable) { reachable = aReachable; };
    client.SetEvents(std::move(events));
  }

  void Follow() { client.Follow(WatchRole::kFirst, std::vector<Revision>(3)); }

  bool Holds(const std::string& aTarget) const
  {
    return replica.ObjectsOf(CatalogKind::kTarget).count(aTarget) > 0;
  }

  bool RunUntilHolds(const std::string& aTarget, bool aHolds)
  {
    return RunUntil(context, [&] { return Holds(aTarget) == aHolds; });
  }

  void RunFor(std::chrono::milliseconds aTime)
  {
    context.restart();
    context.run_for(aTime);
  }

  asio::io_context context;
  MonotonicClock clock;
  StoreStandin store;
  CatalogReplica replica;
  std::optional<bool> reachable;
  platform::PlatformStore client;
};

} // namespace

// Guards against objects that are missed, and removals that are not heard of.
TEST_CASE("platform store: lists and watches bring every change")
{
  Fixture fix;
  fix.store.Put("servers", "a", { { "slots", 1 } });
  fix.Follow();
  CHECK(fix.RunUntilHolds("a", true));
  fix.store.Put("servers", "b", { { "slots", 1 } });
  CHECK(fix.RunUntilHolds("b", true));
  fix.store.Remove("servers", "a");
  CHECK(fix.RunUntilHolds("a", false));
  fix.store.Put("config", "main", { { "version", 3 } });
  CHECK(RunUntil(fix.context, [&] {
    return fix.replica.ObjectsOf(CatalogKind::kConfiguration).count("main") > 0;
  }));
}

// Guards against a starting host that waits for its peers to watch the store
// while callers are refused, and against full prices for that first read.
TEST_CASE("platform store: a read for the start is cheap and ends by itself")
{
  Fixture fix;
  fix.store.Put("servers", "a", { { "slots", 1 } });
  fix.client.ReadOnce();
  CHECK(fix.RunUntilHolds("a", true));
  fix.RunFor(std::chrono::milliseconds(100));
  CHECK(fix.store.Calls() == 3);
  CHECK(fix.store.SerializableCalls() == 3);
  fix.store.Put("servers", "b", { { "slots", 1 } });
  fix.RunFor(std::chrono::milliseconds(100));
  CHECK_FALSE(fix.Holds("b"));
  fix.Follow();
  CHECK(fix.RunUntilHolds("b", true));
}

// Guards against a first read that is tried again while peers may help.
TEST_CASE("platform store: a failed read for the start is left at that")
{
  Fixture fix;
  fix.store.SetFault(StoreFault::kBusy);
  fix.client.ReadOnce();
  fix.RunFor(std::chrono::milliseconds(1200));
  CHECK(fix.store.Calls() == 3);
  fix.store.SetFault(StoreFault::kNone);
  fix.store.Put("servers", "a", { { "slots", 1 } });
  fix.Follow();
  CHECK(fix.RunUntilHolds("a", true));
}

// Guards against one call for each of many changes that come together.
TEST_CASE("platform store: changes that come together cost few calls")
{
  Fixture fix;
  fix.Follow();
  fix.RunFor(std::chrono::milliseconds(100));
  const auto before = fix.store.Calls();
  for (int i = 0; i < 20; ++i) {
    fix.store.Put("servers", "s" + std::to_string(i), { { "slots", 1 } });
    fix.RunFor(std::chrono::milliseconds(10));
  }
  CHECK(fix.RunUntilHolds("s19", true));
  CHECK(fix.store.Calls() - before <= 6);
}

// Guards against changes that are lost with the store's history.
TEST_CASE("platform store: a forgotten history is listed anew")
{
  Fixture fix;
  fix.store.Put("servers", "a", { { "slots", 1 } });
  fix.Follow();
  REQUIRE(fix.RunUntilHolds("a", true));
  fix.store.Remove("servers", "a");
  fix.store.Put("servers", "b", { { "slots", 1 } });
  fix.store.ForgetHistory();
  CHECK(fix.RunUntilHolds("b", true));
  CHECK(fix.RunUntilHolds("a", false));
}

// Guards against a watcher that does not notice that the store fell silent to
// it (CONFIG on trinacria-badges hunt-d47c-35): another host must have time to
// take over and bring a change into force within two seconds.
TEST_CASE("platform store: a store that falls silent is noticed within 1.3 s")
{
  Fixture fix;
  fix.Follow();
  fix.RunFor(std::chrono::milliseconds(300));
  fix.store.SetFault(StoreFault::kUnresponsive);
  const auto begin = std::chrono::steady_clock::now();
  REQUIRE(RunUntil(fix.context, [&] { return fix.reachable == false; }));
  CHECK(std::chrono::steady_clock::now() - begin <
        std::chrono::milliseconds(1300));
}

// Guards against calls that hammer a store that refuses: each one is priced.
TEST_CASE("platform store: a store that refuses gets few calls")
{
  Fixture fix;
  fix.Follow();
  fix.RunFor(std::chrono::milliseconds(300));
  fix.store.SetFault(StoreFault::kBusy);
  REQUIRE(RunUntil(fix.context, [&] { return fix.reachable == false; }));
  const auto before = fix.store.Calls();
  fix.RunFor(std::chrono::seconds(2));
  CHECK(fix.store.Calls() - before <= 8);
}

// Guards against taking every server for gone after an outage in which their
// entries lapsed, and against keeping those that did not come back.
TEST_CASE(
  "platform store: entries that lapsed in an outage have time to return")
{
  Fixture fix;
  fix.store.Put("servers", "back", { { "slots", 1 } });
  fix.store.Put("servers", "lost", { { "slots", 1 } });
  fix.Follow();
  REQUIRE(fix.RunUntilHolds("lost", true));
  fix.store.SetFault(StoreFault::kBusy);
  REQUIRE(RunUntil(fix.context, [&] { return fix.reachable == false; }));
  fix.store.Remove("servers", "back");
  fix.store.Remove("servers", "lost");
  fix.store.SetFault(StoreFault::kNone);
  REQUIRE(RunUntil(fix.context, [&] { return fix.reachable == true; }));
  fix.RunFor(std::chrono::milliseconds(1000));
  CHECK(fix.Holds("back"));
  CHECK(fix.Holds("lost"));
  fix.store.Put("servers", "back", { { "slots", 1 } });
  CHECK(fix.RunUntilHolds("lost", false));
  CHECK(fix.Holds("back"));
}

// Guards against a watch on a connection that went silent by itself.
TEST_CASE("platform store: a watch that stays behind its peers is opened anew")
{
  Fixture fix;
  fix.Follow();
  fix.RunFor(std::chrono::milliseconds(200));
  fix.store.SetFault(StoreFault::kUnresponsive);
  fix.store.Put("servers", "a", { { "slots", 1 } });
  fix.store.SetFault(StoreFault::kNone);
  fix.client.NoteRevisions({ Revision(0), Revision(101), Revision(0) });
  CHECK(fix.RunUntilHolds("a", true));
}

// Guards against hosts that do not find each other.
TEST_CASE("platform store: a registered host is listed, also when repeated")
{
  Fixture fix;
  const PeerAddress self{ HostId("h"), ZoneId("z"), "127.0.0.1", 7000 };
  int done = 0;
  const auto count = [&](const Outcome<void>& aDone) {
    CHECK(aDone);
    ++done;
  };
  fix.client.RegisterHost(self, count);
  REQUIRE(RunUntil(fix.context, [&] { return done == 1; }));
  fix.client.RegisterHost(self, count);
  REQUIRE(RunUntil(fix.context, [&] { return done == 2; }));
  std::vector<PeerAddress> listed;
  fix.client.ListHosts([&](const Outcome<std::vector<PeerAddress>>& aHosts) {
    listed = aHosts.value();
  });
  REQUIRE(RunUntil(fix.context, [&] { return !listed.empty(); }));
  CHECK(listed.at(0).host == self.host);
  CHECK(listed.at(0).port == self.port);
}
