#include "decision/GrantLedger.h"
#include "decision/PhaseTable.h"
#include "decision/RequestEngine.h"
#include "entry/HeldGrants.h"
#include "support/CheckProperty.h"
#include "support/EventWorld.h"
#include "support/SkewedClock.h"

#include <doctest/doctest.h>

#include <memory>
#include <set>

using namespace lacewing;

namespace {

constexpr auto kMs = std::chrono::milliseconds(1);
constexpr Duration kLength = 12000 * kMs;
constexpr Duration kDeadline = 2000 * kMs;
constexpr Duration kLongestPause = 50 * kMs;
/** Delay of messages between the threads of a host. */
constexpr Duration kPost = 5 * kMs;
constexpr int kRuns = 200;
const TargetId kTarget("t");

struct Faults
{
  /** The ledger forgets a grant when its time is over. */
  bool forgetsRunning = false;
  /** Holders count a grant's time from its arrival. */
  bool countsFromArrival = false;
  /** A new lease holder gives grants at once. */
  bool noGrace = false;
};

GrantTerms Terms()
{
  GrantTerms terms;
  terms.longestDeadline = kDeadline;
  return terms;
}

/** One target that never gets warm, up to 17 hosts, two lease holders. */
class World : public EventWorld
{
public:
  World(std::uint64_t aSeed, const Faults& aFaults, bool aRamps)
    : EventWorld(aSeed)
    , faults_(aFaults)
    , ramps_(aRamps)
  {
    // Only one lease holder when the limit grows: the second would have to
    // know the first one's table.
    const Duration takeOver = ramps_ ? kLength : PickTime(kLength / 2);
    AddLedger(Duration(0), takeOver);
    AddLedger(takeOver, kLength);
    const std::uint64_t hosts = 1 + Pick(16);
    for (std::uint64_t i = 0; i < hosts; ++i) {
      After(Chance(70) ? Duration(0) : PickTime(kLength / 2),
            [this, i] { AddHost(i); });
    }
  }

  /** Requests that reached the target. */
  std::uint64_t Started() const { return started_; }

private:
  struct Ledger
  {
    std::unique_ptr<SkewedClock> clock;
    std::unique_ptr<PhaseTable> phases;
    std::unique_ptr<GrantLedger> ledger;
  };
  struct Worker
  {
    std::unique_ptr<RequestEngine> engine;
    GrantRound round;
    /** Attempts that neither ended nor were cancelled. */
    std::set<AttemptId> open;
    /** Those of them that the target runs. */
    std::set<AttemptId> running;
  };
  struct Host
  {
    std::unique_ptr<SkewedClock> clock;
    std::unique_ptr<HeldGrants> configs;
    std::vector<Worker> workers;
    TimePoint pausedUntil;
    std::uint64_t requests = 0;
    std::uint64_t ticks = 0;
  };

  std::unique_ptr<SkewedClock> Clock()
  {
    return std::make_unique<SkewedClock>(
      Time(), PickTime(3600000 * kMs), 10000 * (int(Pick(2)) - 1));
  }

  void AddLedger(Duration aFrom, Duration aUntil)
  {
    const TimePoint from = Time().Now() + aFrom;
    const TimePoint until = Time().Now() + aUntil;
    // Without the grace time the ledger starts its account before the lease.
    After(faults_.noGrace ? Duration(0) : aFrom, [this, from, until] {
      ledgers_.push_back(std::make_unique<Ledger>());
      Ledger& made = *ledgers_.back();
      made.clock = Clock();
      made.phases = std::make_unique<PhaseTable>(*made.clock);
      made.phases->SetTarget(
        kTarget, { SlotCount(6), SlotCount(2), 500 * kMs, 5000 * kMs });
      GrantTerms terms = Terms();
      if (faults_.forgetsRunning) {
        terms.longestDeadline = Duration(0);
      }
      made.ledger = std::make_unique<GrantLedger>(
        *made.clock,
        *made.phases,
        terms,
        Epoch(ledgers_.size()),
        [this, from, until] {
          return from <= Time().Now() && Time().Now() < until;
        });
      Tick(made);
    });
  }

  void Tick(Ledger& aLedger)
  {
    if (ramps_) {
      aLedger.phases->OnGoodAnswer(kTarget, InstanceId("i"));
      aLedger.phases->Advance(kTarget);
    }
    for (const Grant& grant : aLedger.ledger->Give()) {
      Transmit([this, grant] {
        for (auto& host : hosts_) {
          Receive(*host, grant);
        }
      });
    }
    After(20 * kMs, [this, &aLedger] { Tick(aLedger); });
  }

  /** Messages are lost, late and out of order. */
  void Transmit(std::function<void()> aAct)
  {
    if (!Chance(10)) {
      const bool instant = Chance(50);
      After(instant ? Duration(0) : PickTime((Chance(5) ? 1500 : 20) * kMs),
            std::move(aAct));
    }
  }

  void AddHost(std::uint64_t aIndex)
  {
    hosts_.push_back(std::make_unique<Host>());
    Host& host = *hosts_.back();
    host.clock = Clock();
    host.workers.resize(1 + Pick(1));
    host.configs = std::make_unique<HeldGrants>(*host.clock,
                                                HostId(std::to_string(aIndex)),
                                                Incarnation(1),
                                                host.workers.size());
    ServiceRoute route;
    route.id = ServiceId("s");
    route.slots = SlotCount(6);
    route.deadline =
      std::chrono::duration_cast<std::chrono::milliseconds>(kDeadline);
    TargetRoute target;
    target.id = kTarget;
    route.targets = { target };
    auto snapshot = std::make_shared<RoutingSnapshot>();
    snapshot->services[route.id] = std::make_shared<ServiceRoute>(route);
    EngineOptions options;
    // Short, so that requests are sent with most of their deadline left.
    options.maxWait = 50 * kMs;
    for (Worker& worker : host.workers) {
      worker.engine = RequestEngine::Make(*host.clock, options).value();
      worker.engine->OnSnapshot(snapshot);
    }
    Tick(host);
  }

  /** Runs at the host, after its pause if it is paused. */
  void AtHost(Host& aHost, Duration aDelay, std::function<void()> aAct)
  {
    After(aDelay, [this, &aHost, act = std::move(aAct)] {
      if (Time().Now() < aHost.pausedUntil) {
        AtHost(aHost, aHost.pausedUntil - Time().Now(), act);
      } else {
        act();
      }
    });
  }

  void Tick(Host& aHost)
  {
    for (std::size_t i = 0; i < aHost.workers.size(); ++i) {
      Worker& worker = aHost.workers[i];
      RequestInfo info;
      info.id = RequestId(++aHost.requests);
      info.service = ServiceId("s");
      info.method = "POST";
      Act(aHost, worker, worker.engine->OnRequest(info));
      Act(aHost, worker, worker.engine->OnTimer());
      if (aHost.ticks % 10 == 0) {
        WorkerReport report;
        report.worker = WorkerId(static_cast<std::uint32_t>(i));
        report.grantRound = worker.round;
        report.observations = worker.engine->TakeObservations();
        AtHost(aHost, kPost, [this, &aHost, report] {
          aHost.configs->OnReport(report);
          Balance(aHost);
        });
      }
    }
    if (++aHost.ticks % 10 == 0) {
      AskAndReturn(aHost);
    }
    if (Chance(1)) {
      aHost.pausedUntil = Time().Now() + PickTime(1500 * kMs);
    }
    AtHost(aHost, 10 * kMs, [this, &aHost] { Tick(aHost); });
  }

  void AskAndReturn(Host& aHost)
  {
    const auto wants = aHost.configs->TakeWants(KnownPhases());
    const auto returns = aHost.configs->TakeReturns();
    for (auto& ledger : ledgers_) {
      GrantLedger* const to = ledger->ledger.get();
      for (const GrantWantEntry& want : wants) {
        Transmit([to, want] {
          to->OnWant({ { want.host, want.incarnation },
                       want.target,
                       want.epoch,
                       want.slots,
                       TimePoint(want.sent) });
        });
      }
      for (const GrantReturnEntry& given : returns) {
        Transmit([to, given] {
          to->OnReturn({ { given.host, given.incarnation },
                         given.target,
                         given.lastGrant });
        });
      }
    }
  }

  void Receive(Host& aHost, const Grant& aGrant)
  {
    AtHost(aHost, Duration(0), [this, &aHost, aGrant] {
      GrantEntry entry;
      entry.id = aGrant.id;
      entry.host = aGrant.asker.host;
      entry.incarnation = aGrant.asker.incarnation;
      entry.target = aGrant.target;
      entry.epoch = aGrant.epoch;
      entry.slots = aGrant.slots;
      entry.sent = faults_.countsFromArrival
                     ? aHost.clock->Now().time_since_epoch()
                     : aGrant.wantSent.time_since_epoch();
      entry.time = aGrant.time;
      aHost.configs->OnGrant(entry);
      Balance(aHost);
    });
  }

  void Balance(Host& aHost)
  {
    aHost.configs->Balance();
    for (std::size_t i = 0; i < aHost.workers.size(); ++i) {
      const WorkerId id(static_cast<std::uint32_t>(i));
      const auto list = aHost.configs->TakeListFor(id);
      if (list) {
        const GrantRound round = aHost.configs->RoundOf(id);
        AtHost(aHost, kPost, [this, &aHost, i, list, round] {
          Worker& worker = aHost.workers[i];
          worker.round = round;
          Act(aHost, worker, worker.engine->OnGrants(*list));
        });
      }
    }
  }

  void Act(Host& aHost, Worker& aWorker, const Actions& aActions)
  {
    for (const Action& action : aActions) {
      if (const auto* send = std::get_if<SendAttempt>(&action)) {
        aWorker.open.insert(send->attempt);
        // The host may pause between the check of the grant and the send.
        After(Chance(20) ? kLongestPause : Duration(0),
              [this, &aHost, &aWorker, attempt = send->attempt] {
                Start(aHost, aWorker, attempt);
              });
      } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
        // The closed connection ends the work.
        aWorker.open.erase(cancel->attempt);
        aWorker.running.erase(cancel->attempt);
      }
    }
  }

  void Start(Host& aHost, Worker& aWorker, AttemptId aAttempt)
  {
    if (aWorker.open.count(aAttempt) == 0) {
      return;
    }
    aWorker.running.insert(aAttempt);
    ++started_;
    std::size_t running = 0;
    for (const auto& host : hosts_) {
      for (const Worker& worker : host->workers) {
        running += worker.running.size();
      }
    }
    SlotCount limit(ramps_ ? 0 : 2);
    for (const auto& ledger : ledgers_) {
      limit = std::max(limit, ledger->phases->Limit(kTarget));
    }
    Expect(running <= limit.value(), "more work than the target can bear");
    // The target stops at the deadline by its own clock, fast or slow.
    const Duration deadline = kDeadline + kDeadline / 100;
    const Duration work =
      Chance(10) ? deadline : PickTime((Chance(30) ? 1500 : 100) * kMs);
    After(work, [this, &aHost, &aWorker, aAttempt] {
      aWorker.running.erase(aAttempt);
      // A paused host hears of it later, while the target is free already.
      AtHost(aHost, Duration(0), [this, &aHost, &aWorker, aAttempt] {
        aWorker.open.erase(aAttempt);
        Act(aHost, aWorker, aWorker.engine->OnAnswer(aAttempt, {}));
      });
    });
  }

  Faults faults_;
  bool ramps_;
  std::vector<std::unique_ptr<Ledger>> ledgers_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::uint64_t started_ = 0;
};

bool LimitHolds(const Faults& aFaults, bool aRamps, Report aReport)
{
  std::uint64_t started = 0;
  const bool holds = Holds(
    "grants",
    20261204,
    kRuns,
    100,
    [&] {
      const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>());
      World world(seed, aFaults, aRamps);
      world.Run(kLength);
      started += world.Started();
      RC_LOG(world.Violation());
      RC_ASSERT(world.Violation().empty());
    },
    aReport);
  // Grants that let no work through would keep every limit.
  CHECK((!holds || started > 10 * kRuns));
  return holds;
}

} // namespace

// Guards against more work at a cold target than it bears (I2), over up to 17
// hosts that join and pause, messages that are lost, late or reordered, a
// change of lease holder and clocks that are up to 1 % fast or slow.
TEST_CASE("work at a cold or ramping target stays within its limit")
{
  CHECK(LimitHolds({}, false, Report::kPrint));
  CHECK(LimitHolds({}, true, Report::kPrint));
}

// Each fault takes one mechanism away; the limit has to break, or the
// property would not guard against its loss.
TEST_CASE("the limit breaks without each of the grants' mechanisms")
{
  Faults faults;
  SUBCASE("running requests forgotten")
  {
    faults.forgetsRunning = true;
  }
  SUBCASE("time counted from arrival")
  {
    faults.countsFromArrival = true;
  }
  SUBCASE("no grace time")
  {
    faults.noGrace = true;
  }
  CHECK_FALSE(LimitHolds(faults, false, Report::kQuiet));
}

namespace {

/**
 * How long after a slow host's last possible work under its grant a fast
 * ledger gives the slot to the next host; negative when it does so before.
 */
Duration GapBetweenGrants(const ClockMargin& aMargin)
{
  ManualClock time;
  const SkewedClock fast(time, Duration(0), 10000);
  const SkewedClock slow(time, Duration(0), -10000);
  GrantTerms terms = Terms();
  terms.margin = aMargin;
  PhaseTable phases(fast);
  phases.SetTarget(kTarget, { SlotCount(6), SlotCount(1), kMs, kMs });
  GrantLedger ledger(fast, phases, terms, Epoch(1), [] { return true; });
  time.Advance(10 * kDeadline);
  GrantWant want;
  want.asker = { HostId("1"), Incarnation(1) };
  want.target = kTarget;
  want.slots = SlotCount(1);
  want.sent = slow.Now();
  ledger.OnWant(want);
  const Grant grant = ledger.Give().at(0);
  while (slow.Now() < grant.wantSent + aMargin.Shorten(grant.time)) {
    time.Advance(kMs);
  }
  const TimePoint lastWork = time.Now() + kLongestPause + kDeadline;
  want.asker.host = HostId("2");
  for (;;) {
    time.Advance(kMs);
    want.sent = slow.Now();
    ledger.OnWant(want);
    if (!ledger.Give().empty()) {
      return time.Now() - lastWork;
    }
  }
}

} // namespace

// Guards against a slot that two hosts use at once because their clocks run
// at different rates or one of them pauses before a send.
TEST_CASE("the next grant comes after the last work under the one before")
{
  CHECK(GapBetweenGrants(ClockMargin()) >= Duration(0));
  // Without the margin the slot would be given too early.
  CHECK(GapBetweenGrants({ BasisPoints(0), Duration(0) }) < Duration(0));
}
