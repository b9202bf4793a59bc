#include "net/MessageClient.h"
#include "support/ControlCluster.h"
#include "wire/WireMessage.h"

#include <doctest/doctest.h>

using namespace lacewing;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

/** A process that talks to a controld and records what it gets. */
struct Talker
{
  Talker(ControlCluster& aCluster, int aNumber, const json& aFirst)
    : client(
        aCluster.context,
        aCluster.Address(aNumber),
        { [this, aFirst] { client.Send(aFirst); },
          [this](const json& aFrame) { frames[aFrame["t"]].push_back(aFrame); },
          [this] { ++closed; },
          {} })
  {
  }

  std::map<std::string, std::vector<json>> frames;
  int closed = 0;
  MessageClient client;
};

HelloMessage EntryHello(const std::string& aDeployment = "default")
{
  HelloMessage hello;
  hello.deployment = aDeployment;
  hello.host = HostId("h1");
  hello.incarnation = Incarnation(77);
  return hello;
}

bool AllUsable(ControlCluster& aCluster, std::size_t aCount)
{
  for (const auto& [number, daemon] : aCluster.daemons) {
    if (daemon->State().members.Usable().size() != aCount) {
      return false;
    }
  }
  return true;
}

bool AllInForce(ControlCluster& aCluster, std::uint64_t aVersion)
{
  for (const auto& [number, daemon] : aCluster.daemons) {
    if (daemon->State().configs.Version() != ConfigVersion(aVersion)) {
      return false;
    }
  }
  return true;
}

} // namespace

// Guards against controlds that disagree on version or membership, do not
// notice a stopped peer, or leave its leases unused.
TEST_CASE("three controlds agree after one of them is stopped")
{
  ControlCluster cluster;
  WriteConfig(cluster.platform, MakeConfig(1, 20));
  for (int i = 1; i <= 3; ++i) {
    cluster.List(i);
    cluster.Start(i);
  }
  REQUIRE(cluster.Until([&] { return AllUsable(cluster, 3); }));
  REQUIRE(cluster.Until([&] { return AllInForce(cluster, 1); }));
  REQUIRE(cluster.Until([&] { return cluster.HeldLeases() == 32; }));
  cluster.Stop(2);
  CHECK(cluster.Until([&] { return AllUsable(cluster, 2); }));
  WriteConfig(cluster.platform, MakeConfig(2, 20, "PUT"));
  CHECK(cluster.Until([&] { return AllInForce(cluster, 2); }));
  CHECK(cluster.Until([&] { return cluster.HeldLeases() == 32; }));
  cluster.Start(2);
  CHECK(cluster.Until([&] { return AllUsable(cluster, 3); }));
  CHECK(cluster.Until([&] { return AllInForce(cluster, 2); }));
}

// Guards against a new host that stays without a configuration while the
// store is down, and against one that is unknown to the lagging list.
TEST_CASE("a host that starts during a store outage asks its peers")
{
  ControlCluster cluster;
  WriteConfig(cluster.platform, MakeConfig(5, 400));
  cluster.List(1);
  cluster.List(2);
  cluster.Start(1);
  REQUIRE(cluster.Until([&] { return AllInForce(cluster, 5); }));
  REQUIRE(cluster.Until(
    [&] { return cluster.State(1).members.Find(HostId("h2")) != nullptr; }));
  cluster.platform.SetFaults(R"({"down":true})");
  cluster.Start(2);
  CHECK(cluster.Until([&] { return AllInForce(cluster, 5); }));
  CHECK(AllUsable(cluster, 2));
}

// Guards against two holders of one lease when answers to writes are lost.
TEST_CASE("lost write answers never give a lease to two hosts")
{
  ControlCluster cluster;
  for (int i = 1; i <= 2; ++i) {
    cluster.List(i);
    cluster.Start(i);
  }
  REQUIRE(cluster.Until([&] { return AllUsable(cluster, 2); }));
  cluster.platform.SetFaults(R"({"lose_write_answers":40})");
  bool twice = false;
  const auto held = [&] {
    std::set<ShardId> all;
    for (int i = 1; i <= 2; ++i) {
      for (const ShardId shard : cluster.State(i).leases.Held()) {
        twice = twice || !all.insert(shard).second;
      }
    }
    return all.size();
  };
  CHECK(cluster.Until([&] { return held() == 32; }));
  CHECK_FALSE(twice);
}

// Guards against hostile or foreign peers that reach the state, and against
// a newer release's messages breaking the connection.
TEST_CASE("a controld refuses foreign hellos and ignores unknown kinds")
{
  ControlCluster cluster;
  const PeerCounts& counts = cluster.Start(1).links->Counts();
  {
    Talker foreign(cluster, 1, EncodeMessage(EntryHello("other")));
    REQUIRE(cluster.Until([&] { return foreign.closed > 0; }));
    CHECK(foreign.frames.empty());
    CHECK(counts.refused >= 1);
  }
  {
    Talker rude(cluster, 1, { { "t", "members" }, { "v", 1 } });
    REQUIRE(cluster.Until([&] { return rude.closed > 0; }));
  }
  const std::uint64_t refused = counts.refused;
  CHECK(refused >= 2);
  {
    json future = EncodeMessage(EntryHello());
    future["v"] = 2;
    Talker newer(cluster, 1, future);
    REQUIRE(cluster.Until([&] { return newer.closed > 0; }));
    CHECK(counts.malformed >= 1);
  }
  Talker entry(cluster, 1, EncodeMessage(EntryHello()));
  REQUIRE(cluster.Until([&] { return entry.frames.count("hello") == 1; }));
  const std::uint64_t malformed = counts.malformed;
  entry.client.Send({ { "t", "from_the_future" }, { "v", 1 } });
  // An entryd has no say on members.
  entry.client.Send({ { "t", "members" }, { "v", 1 }, { "members", { 1 } } });
  REQUIRE(cluster.Until([&] { return counts.unknownKinds == 2; }));
  CHECK(entry.closed == 0);
  entry.client.Send({ { "t", "config_want" }, { "v", 1 }, { "held", 3 } });
  REQUIRE(cluster.Until([&] { return entry.closed == 1; }));
  CHECK(counts.malformed == malformed + 1);
}

// Guards against wants that miss the lease holder, grants that do not come
// back to the asker, and a changed echo of the time when they were sent.
TEST_CASE("a want of an entryd is granted by the lease holder elsewhere")
{
  ControlCluster cluster(10);
  cluster.terms.suspectTime *= 10;
  cluster.terms.goneTime *= 10;
  cluster.terms.tick = milliseconds(5);
  WriteConfig(cluster.platform, MakeConfig(1, 8));
  for (int i = 1; i <= 2; ++i) {
    cluster.List(i);
    cluster.Start(i);
  }
  REQUIRE(cluster.Until([&] { return AllInForce(cluster, 1); }));
  REQUIRE(cluster.Until([&] { return cluster.HeldLeases() == 32; }));
  // Both hosts hold leases, so that some service is held by the other one.
  std::set<TargetId> away;
  for (const auto& [target, entry] : cluster.State(1).index.All()) {
    if (cluster.State(2).leases.Holds(entry.shard)) {
      away.insert(target);
    }
  }
  REQUIRE_FALSE(away.empty());
  Talker entry(cluster, 1, EncodeMessage(EntryHello()));
  REQUIRE(cluster.Until([&] { return entry.frames.count("hello") == 1; }));
  GrantWantMessage want;
  want.grants.push_back({ HostId("somebody"),
                          Incarnation(77),
                          *away.begin(),
                          Epoch(0),
                          SlotCount(1),
                          std::chrono::microseconds(123456) });
  // Wants expire, so they are repeated as an entryd does.
  for (int i = 0; i < 60 && entry.frames.count("grant") == 0; ++i) {
    entry.client.Send(EncodeMessage(want));
    cluster.RunFor(milliseconds(50));
  }
  REQUIRE(entry.frames.count("grant") == 1);
  const auto grant = DecodeMessage<GrantMessage>(entry.frames["grant"].front())
                       .value()
                       .grants[0];
  CHECK(grant.target == *away.begin());
  CHECK(grant.slots == SlotCount(1));
  CHECK(grant.sent == std::chrono::microseconds(123456));
  CHECK(grant.host == HostId("h1"));

  // A good answer that the entryd reports starts the cold time at the lease
  // holder, which then tells everybody that the target is ramping.
  TargetReportMessage report;
  report.targets.emplace_back();
  report.targets[0].target = *away.begin();
  report.targets[0].answered = 1;
  entry.client.Send(EncodeMessage(report));
  REQUIRE(
    cluster.Until([&] { return entry.frames.count("target_state") == 1; }));
  CHECK(entry.frames["target_state"][0]["targets"][0]["phase"] == "ramping");
}

// Guards against an entryd that is not told of a new configuration.
TEST_CASE("an entryd gets each configuration in force")
{
  ControlCluster cluster;
  WriteConfig(cluster.platform, MakeConfig(1, 3));
  cluster.Start(1);
  Talker entry(cluster, 1, EncodeMessage(EntryHello()));
  REQUIRE(cluster.Until([&] { return entry.frames.count("hello") == 1; }));
  entry.client.Send(EncodeMessage(ConfigWantMessage()));
  REQUIRE(cluster.Until([&] { return entry.frames.count("config") == 1; }));
  ConfigWantMessage next;
  next.version = ConfigVersion(1);
  for (const auto& [name, held] : MakeConfig(1, 3).head.entries) {
    next.held.push_back({ name.value(), held.hash.value() });
  }
  entry.client.Send(EncodeMessage(next));
  WriteConfig(cluster.platform, MakeConfig(2, 3, "PUT"));
  REQUIRE(cluster.Until([&] { return entry.frames["config"].size() == 2; }));
  const auto second =
    DecodeMessage<ConfigMessage>(entry.frames["config"][1]).value();
  CHECK(second.version == ConfigVersion(2));
  CHECK(second.blobs.size() == 1);
}
