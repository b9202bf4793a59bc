#include "decision/GrantHolder.h"
#include "decision/GrantLedger.h"
#include "decision/PhaseTable.h"
#include "decision/RequestEngine.h"
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
  struct Host
  {
    std::unique_ptr<SkewedClock> clock;
    std::unique_ptr<GrantHolder> holder;
    std::unique_ptr<RequestEngine> engine;
    TimePoint pausedUntil;
    std::uint64_t requests = 0;
    /** Attempts that neither ended nor were cancelled. */
    std::set<AttemptId> open;
    /** Those of them that the target runs. */
    std::set<AttemptId> running;
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
    host.holder = std::make_unique<GrantHolder>(
      *host.clock,
      Terms(),
      GrantAsker{ HostId(std::to_string(aIndex)), Incarnation(1) });
    EngineOptions options;
    // Short, so that requests are sent with most of their deadline left.
    options.maxWait = 50 * kMs;
    host.engine = RequestEngine::Make(*host.clock, options).value();
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
    host.engine->OnSnapshot(snapshot);
    Tick(host);
  }

  void Tick(Host& aHost)
  {
    if (Chance(1)) {
      aHost.pausedUntil = Time().Now() + PickTime(1500 * kMs);
    }
    const Duration pause =
      std::max(Duration(0), aHost.pausedUntil - Time().Now());
    After(pause + 10 * kMs, [this, &aHost] { Tick(aHost); });
    if (pause > Duration(0)) {
      return;
    }
    RequestInfo info;
    info.id = RequestId(++aHost.requests);
    info.service = ServiceId("s");
    info.method = "POST";
    Act(aHost, aHost.engine->OnRequest(info));
    Act(aHost, aHost.engine->OnTimer());
    for (const TargetObservation& seen : aHost.engine->TakeObservations()) {
      const auto want = aHost.holder->OnWanted(kTarget, Epoch(0), seen.wanted);
      for (std::size_t i = 0; want && i < ledgers_.size(); ++i) {
        Transmit([this, i, want] { ledgers_[i]->ledger->OnWant(*want); });
      }
    }
    if (Chance(2)) {
      aHost.holder->Withdraw(kTarget);
      UseGrants(aHost);
    }
    if (aHost.open.empty()) {
      const auto released = aHost.holder->OnIdle(kTarget);
      for (std::size_t i = 0; released && i < ledgers_.size(); ++i) {
        Transmit(
          [this, i, released] { ledgers_[i]->ledger->OnReturn(*released); });
      }
    }
  }

  void Receive(Host& aHost, Grant aGrant)
  {
    if (Time().Now() < aHost.pausedUntil) {
      After(aHost.pausedUntil - Time().Now(),
            [this, &aHost, aGrant] { Receive(aHost, aGrant); });
      return;
    }
    if (faults_.countsFromArrival) {
      aGrant.wantSent = aHost.clock->Now();
    }
    if (aHost.holder->OnGrant(aGrant)) {
      UseGrants(aHost);
    }
  }

  void UseGrants(Host& aHost)
  {
    Act(aHost, aHost.engine->OnGrants(aHost.holder->HeldBy(0, 1)));
  }

  void Act(Host& aHost, const Actions& aActions)
  {
    for (const Action& action : aActions) {
      if (const auto* send = std::get_if<SendAttempt>(&action)) {
        aHost.open.insert(send->attempt);
        // The host may pause between the check of the grant and the send.
        After(
          Chance(20) ? PickTime(kLongestPause) : Duration(0),
          [this, &aHost, attempt = send->attempt] { Start(aHost, attempt); });
      } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
        // The closed connection ends the work.
        aHost.open.erase(cancel->attempt);
        aHost.running.erase(cancel->attempt);
      }
    }
  }

  void Start(Host& aHost, AttemptId aAttempt)
  {
    if (aHost.open.count(aAttempt) == 0) {
      return;
    }
    aHost.running.insert(aAttempt);
    ++started_;
    std::size_t running = 0;
    for (const auto& host : hosts_) {
      running += host->running.size();
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
    After(work, [this, &aHost, aAttempt] { End(aHost, aAttempt); });
  }

  void End(Host& aHost, AttemptId aAttempt)
  {
    aHost.running.erase(aAttempt);
    // A paused host hears of it later, while the target is free already.
    if (Time().Now() < aHost.pausedUntil) {
      After(aHost.pausedUntil - Time().Now(),
            [this, &aHost, aAttempt] { End(aHost, aAttempt); });
      return;
    }
    aHost.open.erase(aAttempt);
    Act(aHost, aHost.engine->OnAnswer(aAttempt, {}));
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
  GrantHolder first(slow, terms, { HostId("1"), Incarnation(1) });
  GrantHolder second(slow, terms, { HostId("2"), Incarnation(1) });
  time.Advance(10 * kDeadline);
  ledger.OnWant(*first.OnWanted(kTarget, Epoch(0), SlotCount(1)));
  first.OnGrant(ledger.Give().at(0));
  while (!first.HeldBy(0, 1).empty()) {
    time.Advance(kMs);
  }
  const TimePoint lastWork = time.Now() + kLongestPause + kDeadline;
  for (;;) {
    time.Advance(kMs);
    if (const auto want = second.OnWanted(kTarget, Epoch(0), SlotCount(1))) {
      ledger.OnWant(*want);
    }
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
