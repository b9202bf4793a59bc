#include "control/MemberTable.h"
#include "control/MeshPlan.h"
#include "core/ManualClock.h"

#include <doctest/doctest.h>

#include <string>

using namespace lacewing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

MemberEntry Entry(const std::string& aHost,
                  std::uint64_t aIncarnation,
                  MemberState aState = MemberState::kLive,
                  const std::string& aZone = "Bole")
{
  return {
    HostId(aHost), "127.0.0.1", ZoneId(aZone), Incarnation(aIncarnation), aState
  };
}

struct Fixture
{
  MemberState StateOf(const std::string& aHost)
  {
    return table.Find(HostId(aHost))->entry.state;
  }

  ManualClock clock;
  MemberTable table{ clock, ControlTerms(), Entry("a", 5) };
};

} // namespace

// Guards against a silent host that stays live, and against one that comes
// back in a new run but stays gone.
TEST_CASE_FIXTURE(Fixture, "members become suspect, gone and live again")
{
  table.OnHello(Entry("b", 1));
  table.SetExpected({ HostId("b") });
  clock.Advance(milliseconds(2100));
  table.OnTimer();
  CHECK(StateOf("b") == MemberState::kSuspect);
  clock.Advance(seconds(4));
  table.OnTimer();
  CHECK(StateOf("b") == MemberState::kGone);
  CHECK(table.Usable() == std::vector<HostId>{ HostId("a") });
  // A late message of the old run does not revive it; a new run does.
  table.OnHeard(HostId("b"), Incarnation(1));
  CHECK(StateOf("b") == MemberState::kGone);
  table.OnHeard(HostId("b"), Incarnation(2));
  CHECK(StateOf("b") == MemberState::kLive);
}

// Guards against rumours that outlive their refutation, and against a host
// that is declared gone although it is heard.
TEST_CASE_FIXTURE(Fixture, "a host refutes rumours with a higher incarnation")
{
  table.OnNews(Entry("a", 5, MemberState::kSuspect));
  CHECK(table.Self().entry.incarnation == Incarnation(6));
  CHECK(table.TakeNews().size() == 1);
  table.OnNews(Entry("a", 5, MemberState::kGone));
  CHECK(table.TakeNews().empty());

  table.OnHello(Entry("b", 1));
  table.OnNews(Entry("b", 1, MemberState::kGone));
  CHECK(StateOf("b") == MemberState::kLive);
  clock.Advance(seconds(2));
  table.OnNews(Entry("b", 1, MemberState::kGone));
  CHECK(StateOf("b") == MemberState::kGone);
  table.OnNews(Entry("b", 1, MemberState::kLive));
  CHECK(StateOf("b") == MemberState::kGone);
  table.OnNews(Entry("b", 2, MemberState::kLive));
  CHECK(StateOf("b") == MemberState::kLive);
}

// Guards against the lagging list hiding a new host or keeping a stopped one.
TEST_CASE_FIXTURE(Fixture, "the lagging host list adds to what peers tell")
{
  const auto listed = [](const char* aHost) {
    return ListedHost{ HostId(aHost), "127.0.0.1", ZoneId("Bole"), false };
  };
  table.OnHello(Entry("new", 1));
  table.OnHostList({ listed("a"), listed("b") });
  CHECK(table.Usable() == std::vector<HostId>{ HostId("a"), HostId("new") });
  table.OnHeard(HostId("b"), Incarnation(9));
  CHECK(table.Usable().size() == 3);
  clock.Advance(seconds(3));
  table.OnHostList({ listed("a") });
  CHECK(StateOf("b") == MemberState::kGone);
  CHECK(StateOf("new") == MemberState::kLive);
  clock.Advance(seconds(61));
  table.OnTimer();
  CHECK(table.Find(HostId("b")) == nullptr);
}

// Guards against two hosts that see the same members but plan different
// connections, too many of them, or a mesh that falls apart.
TEST_CASE("the mesh of many hosts is symmetric, bounded and connected")
{
  const ManualClock clock;
  constexpr int kHosts = 60;
  std::map<HostId, std::set<HostId>> plans;
  for (int i = 0; i < kHosts; ++i) {
    const auto entry = [](int aNumber) {
      return Entry("h" + std::to_string(aNumber),
                   1,
                   MemberState::kLive,
                   "z" + std::to_string(aNumber % 3));
    };
    MemberTable table(clock, ControlTerms(), entry(i));
    for (int other = 0; other < kHosts; ++other) {
      table.OnNews(entry(other));
    }
    plans[table.Self().entry.host] = PlanMesh(table, ControlTerms());
  }
  for (const auto& [host, peers] : plans) {
    CHECK(peers.size() <= kMaxMeshDegree);
    for (const HostId& peer : peers) {
      CHECK(plans.at(peer).count(host) == 1);
    }
  }
  std::set<HostId> reached{ HostId("h0") };
  for (int hop = 0; hop < 4; ++hop) {
    for (const HostId& host : std::set<HostId>(reached)) {
      reached.insert(plans[host].begin(), plans[host].end());
    }
  }
  CHECK(reached.size() == kHosts);
}
