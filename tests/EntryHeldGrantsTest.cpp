#include "core/ManualClock.h"
#include "entry/HeldGrants.h"

#include <doctest/doctest.h>

#include <random>

using namespace lacewing;

namespace {

const TargetId kTarget("t");

GrantEntry MakeGrant(const Clock& aClock, std::uint64_t aId, unsigned aSlots)
{
  GrantEntry grant;
  grant.id = GrantId(aId);
  grant.host = HostId("h");
  grant.incarnation = Incarnation(1);
  grant.target = kTarget;
  grant.slots = SlotCount(aSlots);
  grant.sent = aClock.Now().time_since_epoch();
  grant.time = std::chrono::seconds(1);
  return grant;
}

/** A worker that uses every slot it may and waits for more. */
struct FakeWorker
{
  SlotCount assigned;
  GrantRound round;
  unsigned inFlight = 0;
  unsigned waiting = 0;

  WorkerReport Report(WorkerId aId) const
  {
    WorkerReport report;
    report.worker = aId;
    report.grantRound = round;
    TargetObservation seen;
    seen.target = kTarget;
    seen.inFlight = SlotCount(inFlight);
    seen.wanted = SlotCount(waiting);
    report.observations = { seen };
    return report;
  }
};

} // namespace

// Guards against two workers using one slot while it moves between them.
TEST_CASE("workers together never use more slots than the grant has")
{
  ManualClock clock;
  constexpr std::size_t kWorkers = 3;
  HeldGrants configs(clock, HostId("h"), Incarnation(1), kWorkers);
  std::vector<FakeWorker> workers(kWorkers);
  std::mt19937 random(7);
  const auto chance = [&](unsigned aOutOf) { return random() % aOutOf == 0; };
  std::vector<unsigned> served(kWorkers);
  std::uint64_t id = 0;
  // The lease holder counts an earlier, larger grant for longer than any
  // request in this test runs.
  unsigned slots = 2;
  for (int step = 0; step < 20000; ++step) {
    clock.Advance(std::chrono::milliseconds(5));
    if (step % 60 == 0) {
      configs.OnGrant(MakeGrant(clock, ++id, slots));
    }
    for (std::size_t i = 0; i < kWorkers; ++i) {
      FakeWorker& worker = workers[i];
      const WorkerId number(static_cast<std::uint32_t>(i));
      worker.waiting += chance(10) ? 1 : 0;
      if (worker.inFlight > 0 && chance(4)) {
        --worker.inFlight;
      }
      if (worker.waiting > 0 && worker.inFlight < worker.assigned.value()) {
        --worker.waiting;
        ++worker.inFlight;
        ++served[i];
      }
      if (chance(20)) {
        configs.OnReport(worker.Report(number));
      }
      configs.Balance();
      // A list in transit: the worker takes some of them over late.
      if (chance(3)) {
        if (auto list = configs.TakeListFor(number)) {
          worker.assigned = list->empty() ? SlotCount(0) : list->at(0).slots;
          worker.round = configs.RoundOf(number);
        }
      }
    }
    unsigned inFlight = 0;
    for (const FakeWorker& worker : workers) {
      inFlight += worker.inFlight;
    }
    REQUIRE(inFlight <= slots);
  }
  for (const unsigned count : served) {
    CHECK(count > 200);
  }
}

// Guards against a grant that counts from its arrival, is extended by
// transit, is taken over from another asker or replaces a later one.
TEST_CASE("a grant's time counts from the sending of the want")
{
  ManualClock clock;
  HeldGrants configs(clock, HostId("h"), Incarnation(1), 1);
  FakeWorker worker;
  worker.waiting = 1;
  configs.OnReport(worker.Report(WorkerId(0)));
  const auto wants = configs.TakeWants(KnownPhases());
  REQUIRE(wants.size() == 1);
  CHECK((wants[0].sent == clock.Now().time_since_epoch()));
  GrantEntry grant = MakeGrant(clock, 9, 1);
  const TimePoint sent = clock.Now();
  clock.Advance(std::chrono::milliseconds(200));
  GrantEntry foreign = grant;
  foreign.incarnation = Incarnation(2);
  configs.OnGrant(foreign);
  configs.Balance();
  CHECK_FALSE(configs.TakeListFor(WorkerId(0)));
  configs.OnGrant(grant);
  grant.id = GrantId(8);
  grant.slots = SlotCount(5);
  configs.OnGrant(grant);
  configs.Balance();
  const auto list = configs.TakeListFor(WorkerId(0));
  REQUIRE(list);
  REQUIRE(list->size() == 1);
  CHECK(list->at(0).slots == SlotCount(1));
  // 1 s less 1 % and 50 ms.
  CHECK((list->at(0).expiry == sent + std::chrono::milliseconds(940)));
}

// Guards against a return while a request is in progress, and against grants
// that are kept after the work has ended.
TEST_CASE("an unused grant goes back once no worker can use it")
{
  ManualClock clock;
  HeldGrants configs(clock, HostId("h"), Incarnation(1), 1);
  FakeWorker worker;
  worker.waiting = 1;
  configs.OnReport(worker.Report(WorkerId(0)));
  configs.OnGrant(MakeGrant(clock, 4, 1));
  configs.Balance();
  REQUIRE(configs.TakeListFor(WorkerId(0)));
  worker.round = configs.RoundOf(WorkerId(0));
  worker.waiting = 0;
  worker.inFlight = 1;
  configs.OnReport(worker.Report(WorkerId(0)));
  clock.Advance(std::chrono::seconds(2));
  configs.Balance();
  CHECK(configs.TakeReturns().empty());
  worker.inFlight = 0;
  configs.OnReport(worker.Report(WorkerId(0)));
  // The worker has not confirmed yet that it is without the slot.
  CHECK(configs.TakeReturns().empty());
  REQUIRE(configs.TakeListFor(WorkerId(0)));
  worker.round = configs.RoundOf(WorkerId(0));
  configs.OnReport(worker.Report(WorkerId(0)));
  const auto returns = configs.TakeReturns();
  REQUIRE(returns.size() == 1);
  CHECK(returns[0].lastGrant == GrantId(4));
  CHECK(configs.empty());
}
