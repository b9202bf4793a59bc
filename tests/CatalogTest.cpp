#include "catalog/CatalogReplica.h"
#include "catalog/RouteTable.h"
#include "support/CheckProperty.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace lacewing;

namespace {

constexpr std::uint64_t kSeed = 20261204;

RouteSpec Route(const std::string& aName, const std::string& aPrefix)
{
  RouteSpec route;
  route.name = RouteName(aName);
  route.host = "A.example";
  route.pathPrefix = aPrefix;
  route.shares = { { ServiceId("s"), 1 } };
  return route;
}

/** A position of the first era. */
StorePosition At(std::uint64_t aRevision)
{
  return { StoreEra(1), Revision(aRevision) };
}

CatalogItem Item(const std::string& aName,
                 StorePosition aPosition,
                 bool aRemoved = false)
{
  CatalogItem item;
  item.name = aName;
  item.position = aPosition;
  item.removed = aRemoved;
  item.body = aRemoved ? "" : "body " + ToString(aPosition);
  return item;
}

CatalogItem Item(const std::string& aName,
                 std::uint64_t aRevision,
                 bool aRemoved = false)
{
  return Item(aName, At(aRevision), aRemoved);
}

CatalogChanges List(StorePosition aPosition, std::vector<CatalogItem> aItems)
{
  return { true, aPosition, std::move(aItems) };
}

CatalogChanges Events(StorePosition aPosition, std::vector<CatalogItem> aItems)
{
  return { false, aPosition, std::move(aItems) };
}

} // namespace

// Guards against a short prefix matching requests of a longer one.
TEST_CASE("catalog: the longest matching prefix of the host is chosen")
{
  const auto table =
    RouteTable::Make(
      ConfigVersion(1),
      { Route("all", "/"), Route("deep", "/a/b/"), Route("mid", "/a/") },
      {},
      {})
      .value();
  const auto name = [&](const char* aHost, const char* aTarget) {
    const RouteSpec* route = table->Find(aHost, aTarget);
    return route == nullptr ? std::string("none") : route->name.value();
  };
  CHECK(name("a.example", "/a/b/c") == "deep");
  CHECK(name("a.EXAMPLE:80", "/a/bc") == "mid");
  CHECK(name("a.example", "/ab") == "all");
  CHECK(name("a.example", "/x?y=/a/b/") == "all");
  CHECK(name("b.example", "/a/b/c") == "none");
}

// Guards against accepting configurations whose requests have no destination.
TEST_CASE("catalog: routes without a service or a valid prefix are rejected")
{
  RouteSpec bare = Route("r", "/a");
  CHECK_FALSE(RouteTable::Make(ConfigVersion(1), { bare }, {}, {}));
  RouteSpec empty = Route("r", "/a/");
  empty.shares.clear();
  CHECK_FALSE(RouteTable::Make(ConfigVersion(1), { empty }, {}, {}));
}

// Guards against hosts with different catalogs after the same changes, which
// arrive from the store and from peers in any order and more than once.
TEST_CASE("catalog: replicas agree regardless of the order of changes")
{
  CHECK(Holds("replicas agree", kSeed, 300, 40, [] {
    std::vector<CatalogChanges> history;
    CatalogReplica reference;
    std::uint64_t revision = 10;
    for (int i = 0; i < 12; ++i) {
      CatalogChanges changes;
      const auto name = "o" + std::to_string(*rc::gen::inRange(0, 4));
      ++revision;
      changes.position = At(revision);
      changes.items = { Item(name, revision, *rc::gen::inRange(0, 3) == 0) };
      reference.Apply(CatalogKind::kTarget, changes);
      history.push_back(changes);
    }
    auto shuffled = history;
    for (std::size_t i = shuffled.size(); i > 1; --i) {
      std::swap(shuffled[i - 1],
                shuffled[*rc::gen::inRange<std::size_t>(0, i)]);
    }
    CatalogReplica other;
    for (const CatalogChanges& changes : shuffled) {
      other.Apply(CatalogKind::kTarget, changes);
      other.Apply(CatalogKind::kTarget, changes);
    }
    const auto& left = reference.ObjectsOf(CatalogKind::kTarget);
    const auto& right = other.ObjectsOf(CatalogKind::kTarget);
    RC_ASSERT(left.size() == right.size());
    for (const auto& [name, item] : left) {
      RC_ASSERT(right.count(name) == 1);
      RC_ASSERT(right.at(name).body == item.body);
    }
  }));
}

// Guards against a peer that is never informed of a removal.
TEST_CASE("catalog: a pull returns changes and removals after a revision")
{
  CatalogReplica ours;
  ours.Apply(CatalogKind::kTarget, List(At(5), { Item("a", 3), Item("b", 4) }));
  CatalogReplica theirs;
  theirs.Apply(CatalogKind::kTarget, ours.Since(CatalogKind::kTarget, {}));
  ours.Apply(CatalogKind::kTarget,
             Events(At(8), { Item("a", 8, true), Item("c", 7) }));
  const CatalogChanges changes =
    ours.Since(CatalogKind::kTarget, theirs.PositionOf(CatalogKind::kTarget));
  CHECK_FALSE(changes.full);
  CHECK(changes.items.size() == 2);
  theirs.Apply(CatalogKind::kTarget, changes);
  CHECK(theirs.ObjectsOf(CatalogKind::kTarget).count("a") == 0);
  CHECK(theirs.ObjectsOf(CatalogKind::kTarget).count("c") == 1);
  CHECK(theirs.PositionOf(CatalogKind::kTarget) == At(8));
}

// Guards against an outdated list, received late, removing newer objects.
TEST_CASE("catalog: an older list does not remove newer objects")
{
  CatalogReplica replica;
  replica.Apply(CatalogKind::kTarget, Events(At(9), { Item("new", 9) }));
  replica.Apply(CatalogKind::kTarget, List(At(6), { Item("a", 3) }));
  CHECK(replica.ObjectsOf(CatalogKind::kTarget).size() == 2);
  CHECK(replica.PositionOf(CatalogKind::kTarget) == At(9));
}

// Guards against a target that left and is in use again after a restart: the
// host read a newer list first, and an older one, from a peer that lags or from
// a store that serves old reads, arrived later.
TEST_CASE("catalog: an older list brings back nothing that a newer one lacks")
{
  const CatalogChanges older =
    List(At(10), { Item("left", 5), Item("stays", 6) });
  const CatalogChanges newer =
    List(At(20), { Item("stays", 6), Item("new", 15) });
  CatalogReplica restarted;
  restarted.Apply(CatalogKind::kTarget, newer);
  CHECK_FALSE(restarted.Apply(CatalogKind::kTarget, older));
  // The same object in changes that a lagging peer sends.
  CHECK_FALSE(
    restarted.Apply(CatalogKind::kTarget, Events(At(12), { Item("left", 5) })));
  CHECK(restarted.ObjectsOf(CatalogKind::kTarget).size() == 2);
  CHECK(restarted.ObjectsOf(CatalogKind::kTarget).count("left") == 0);
  CHECK(restarted.PositionOf(CatalogKind::kTarget) == At(20));
  // A target that registers again under its name is back.
  CHECK(restarted.Apply(CatalogKind::kTarget,
                        Events(At(21), { Item("left", 21) })));
  CHECK(restarted.ObjectsOf(CatalogKind::kTarget).count("left") == 1);
}
