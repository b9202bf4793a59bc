#include "core/ManualClock.h"
#include "decision/GrantHolder.h"
#include "decision/GrantLedger.h"
#include "decision/MeasuringBudget.h"
#include "decision/PhaseTable.h"
#include "decision/SubsetSelector.h"
#include "support/CheckProperty.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

using namespace lacewing;

namespace {

constexpr auto kMs = std::chrono::milliseconds(1);
const TargetId kTarget("t");
const InstanceId kOld("old");
const InstanceId kNew("new");
const WarmUp kWarmUp{ SlotCount(6), SlotCount(1), 3000 * kMs, 5000 * kMs };

PhaseRecord Record(std::uint64_t aEpoch, TargetPhase aPhase)
{
  return { kTarget, Epoch(aEpoch), aPhase };
}

std::vector<TargetRoute> Targets(int aCount)
{
  std::vector<TargetRoute> targets(static_cast<std::size_t>(aCount));
  for (int i = 0; i < aCount; ++i) {
    targets[static_cast<std::size_t>(i)].id =
      TargetId("target-" + std::to_string(1000 + i));
  }
  return targets;
}

std::vector<HostId> Hosts(int aCount)
{
  std::vector<HostId> hosts;
  for (int i = 0; i < aCount; ++i) {
    hosts.emplace_back("host-" + std::to_string(i));
  }
  return hosts;
}

} // namespace

// Guards against full load on a target that has just started, and against a
// target that stays cold for ever.
TEST_CASE("a target warms up after its first good answer")
{
  ManualClock clock;
  PhaseTable table(clock);
  table.SetTarget(kTarget, kWarmUp);
  clock.Advance(60000 * kMs);
  CHECK_FALSE(table.Advance(kTarget));
  table.OnGoodAnswer(kTarget, kOld);
  clock.Advance(2999 * kMs);
  CHECK_FALSE(table.Advance(kTarget));
  CHECK(table.Limit(kTarget) == SlotCount(1));
  clock.Advance(kMs);
  CHECK(table.Advance(kTarget).value().phase == TargetPhase::kRamping);
  CHECK(table.Limit(kTarget) == SlotCount(1));
  clock.Advance(2500 * kMs);
  CHECK(table.Limit(kTarget) == SlotCount(3));
  clock.Advance(2500 * kMs);
  CHECK(table.Advance(kTarget).value().phase == TargetPhase::kWarm);
  CHECK(table.Limit(kTarget) == SlotCount(6));
}

// Guards against hosts that end with different phases when they hear the same
// records in different orders.
TEST_CASE("phases merge to the same record in any order")
{
  CHECK(Holds("merge", 20261204, 500, 100, [] {
    const auto picks = *rc::gen::arbitrary<std::vector<std::uint8_t>>();
    std::vector<PhaseRecord> records;
    for (const std::uint8_t pick : picks) {
      records.push_back(Record(pick % 4, TargetPhase(pick / 4 % 3)));
    }
    ManualClock clock;
    PhaseTable first(clock);
    PhaseTable second(clock);
    first.SetTarget(kTarget, kWarmUp);
    second.SetTarget(kTarget, kWarmUp);
    for (const PhaseRecord& record : records) {
      first.Merge(record);
    }
    std::reverse(records.begin(), records.end());
    for (const PhaseRecord& record : records) {
      second.Merge(record);
    }
    RC_ASSERT(first.Get(kTarget).epoch == second.Get(kTarget).epoch);
    RC_ASSERT(first.Get(kTarget).phase == second.Get(kTarget).phase);
  }));
}

// Guards against epochs that start again with each report of one restart.
TEST_CASE("one restart starts one epoch")
{
  ManualClock clock;
  PhaseTable table(clock);
  table.SetTarget(kTarget, kWarmUp);
  table.Merge(Record(4, TargetPhase::kWarm));
  table.OnGoodAnswer(kTarget, kOld);
  CHECK(table.OnColdSign(kTarget, kNew).value().epoch == Epoch(5));
  CHECK_FALSE(table.OnColdSign(kTarget, InstanceId()));
  table.OnGoodAnswer(kTarget, kNew);
  clock.Advance(3000 * kMs);
  table.Advance(kTarget);
  // A report that was long under way; then a restart while ramping.
  CHECK_FALSE(table.OnColdSign(kTarget, kNew));
  CHECK(table.OnColdSign(kTarget, InstanceId()).value().epoch == Epoch(6));
}

// Guards against one host that keeps the only slot of a cold target.
TEST_CASE("hosts take turns when there are more hosts than slots")
{
  ManualClock clock;
  PhaseTable phases(clock);
  phases.SetTarget(kTarget, kWarmUp);
  GrantTerms terms;
  terms.longestDeadline = 1000 * kMs;
  GrantLedger ledger(clock, phases, terms, Epoch(1), [] { return true; });
  clock.Set(ledger.GraceEnd());
  std::vector<GrantHolder> holders;
  for (const HostId& host : Hosts(3)) {
    holders.emplace_back(clock, terms, GrantAsker{ host, Incarnation(1) });
  }
  std::map<HostId, int> grants;
  for (int i = 0; i < 3000; ++i) {
    clock.Advance(10 * kMs);
    for (GrantHolder& holder : holders) {
      if (const auto want = holder.OnWanted(kTarget, Epoch(0), SlotCount(1))) {
        ledger.OnWant(*want);
      }
      if (const auto idle = holder.OnIdle(kTarget)) {
        ledger.OnReturn(*idle);
      }
    }
    for (const Grant& grant : ledger.Give()) {
      ++grants[grant.asker.host];
      for (GrantHolder& holder : holders) {
        holder.OnGrant(grant);
      }
    }
  }
  for (const auto& [host, count] : grants) {
    CHECK(count >= 8);
  }
  CHECK(grants.size() == 3);
}

// Guards against workers of one host that together use more than its grant,
// also while the grant grows.
TEST_CASE("workers share a grant without exceeding it")
{
  ManualClock clock;
  GrantHolder holder(clock, GrantTerms(), { HostId("h"), Incarnation(1) });
  std::map<std::size_t, SlotCount> before;
  for (std::uint32_t slots = 1; slots <= 6; ++slots) {
    Grant grant;
    grant.id = GrantId(slots);
    grant.asker = { HostId("h"), Incarnation(1) };
    grant.target = kTarget;
    grant.slots = SlotCount(slots);
    grant.wantSent = clock.Now();
    grant.time = 1000 * kMs;
    CHECK(holder.OnGrant(grant));
    CHECK_FALSE(holder.OnGrant(grant));
    SlotCount sum;
    for (std::size_t worker = 0; worker < 4; ++worker) {
      const auto held = holder.HeldBy(worker, 4);
      const SlotCount part = held.empty() ? SlotCount(0) : held[0].slots;
      CHECK(before[worker] <= part);
      before[worker] = part;
      sum += part;
    }
    CHECK(sum == grant.slots);
  }
}

// Guards against probes that take more than the agreed share of slot time
// (I1), at any moment and for probes of any length.
TEST_CASE("probes stay within their share of slot time")
{
  CHECK(Holds("budget", 20261204, 200, 100, [] {
    const auto steps = *rc::gen::arbitrary<std::vector<std::uint16_t>>();
    ManualClock clock;
    MeasuringBudget budget(clock);
    budget.SetTarget(kTarget, SlotCount(3), BasisPoints(100));
    const TimePoint start = clock.Now();
    Duration used{ 0 };
    for (const std::uint16_t step : steps) {
      clock.Advance(step % 1000 * kMs);
      if (budget.StartProbe(kTarget, 50 * kMs)) {
        RC_ASSERT(!budget.StartProbe(kTarget, 50 * kMs));
        const Duration took = step % 50 * kMs;
        clock.Advance(took);
        const bool answered = step % 3 != 0;
        budget.EndProbe(kTarget, answered);
        used += answered ? took : 50 * kMs;
      }
      RC_ASSERT(100 * used <= 3 * (clock.Now() - start));
    }
  }));
}

// Guards against a budget that never allows a probe.
TEST_CASE("probes use the share that they have")
{
  ManualClock clock;
  MeasuringBudget budget(clock);
  budget.SetTarget(kTarget, SlotCount(3), BasisPoints(100));
  int probes = 0;
  for (int i = 0; i < 60000; ++i) {
    clock.Advance(kMs);
    if (budget.StartProbe(kTarget, 50 * kMs)) {
      clock.Advance(6 * kMs);
      budget.EndProbe(kTarget, true);
      ++probes;
    }
  }
  // 3 % of 60 s is 1.8 s, or 300 probes of 6 ms.
  CHECK(probes >= 250);
}

// Guards against more connections than a target accepts, targets that nobody
// uses, hosts without targets and unbounded subsets.
TEST_CASE("subsets keep the connection limit and use every target")
{
  struct Size
  {
    int hosts;
    int targets;
    std::uint32_t limit;
  };
  for (const Size& size : { Size{ 14, 25, 200 },
                            Size{ 17, 30, 250 },
                            Size{ 300, 26, 200 },
                            Size{ 17, 1000, 250 },
                            Size{ 30, 4, 10 } }) {
    const auto targets = Targets(size.targets);
    std::map<TargetId, std::uint32_t> connections;
    for (const HostId& host : Hosts(size.hosts)) {
      const SubsetSelector selector(host, Hosts(size.hosts));
      const ServiceSubset subset =
        selector.Select(ServiceId("s"), targets, ConnectionCount(size.limit));
      for (const TargetRoute& target : subset.targets) {
        connections[target.id] += subset.connections.value();
      }
      CHECK((size.limit < 50 || subset.targets.size() >= 3));
      CHECK(subset.targets.size() <= 3 * SubsetSelector::kMaxTargets + 64);
    }
    CHECK(connections.size() == targets.size());
    for (const auto& [target, count] : connections) {
      CHECK(count <= size.limit - size.limit / 5);
    }
  }
}

// Guards against a subset that changes as a whole when one host goes, which
// would close and open most connections.
TEST_CASE("subsets change little when a host goes")
{
  const auto targets = Targets(26);
  auto hosts = Hosts(300);
  const auto select = [&] {
    std::set<TargetId> ids;
    for (const auto& target :
         SubsetSelector(hosts[0], hosts)
           .Select(ServiceId("s"), targets, ConnectionCount(200))
           .targets) {
      ids.insert(target.id);
    }
    return ids;
  };
  const auto before = select();
  hosts.pop_back();
  const auto after = select();
  std::vector<TargetId> same;
  std::set_intersection(before.begin(),
                        before.end(),
                        after.begin(),
                        after.end(),
                        std::back_inserter(same));
  CHECK(same.size() + 1 >= before.size());
  CHECK(after.size() <= before.size() + 1);
}
