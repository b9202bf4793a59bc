#include "balance/ColdQuota.h"
#include "balance/Eligibility.h"
#include "balance/HedgeRule.h"
#include "balance/RetryRule.h"
#include "balance/RetryWindow.h"
#include "balance/SplitCursor.h"
#include "balance/TargetChooser.h"
#include "balance/TargetOwner.h"
#include "balance/Watchers.h"
#include "core/ManualClock.h"
#include "support/CheckProperty.h"

#include <doctest/doctest.h>

#include <map>

using namespace lacewing;

namespace {

constexpr std::uint64_t kSeed = 20261204;

std::vector<OwnerCandidate> Hosts(int aZones, int aEach)
{
  std::vector<OwnerCandidate> hosts;
  for (int zone = 0; zone < aZones; ++zone) {
    for (int i = 0; i < aEach; ++i) {
      const std::string name =
        "h" + std::to_string(zone) + "-" + std::to_string(i);
      hosts.push_back({ HostId(name), ZoneId("z" + std::to_string(zone)) });
    }
  }
  return hosts;
}

struct CandidateFixture
{
  CandidateFixture()
  {
    target.spec.slots = SlotCount(3);
    reading.state = ReadingState::kServing;
    reading.measuredAt = reading.probedAt = clock.Now();
    clock.Advance(std::chrono::milliseconds(1));
  }

  Candidate Get() const { return { &target, &reading, &local, true }; }
  Eligibility Is() const { return EligibilityOf(Get(), clock.Now()); }

  ManualClock clock;
  FleetTarget target;
  LoadReading reading;
  LocalView local;
};

} // namespace

// Guards against more than a cold target bears when the previous owner and
// hosts behind a cut send as well.
TEST_CASE("balance: the cold quotas of all possible owners fit the bound")
{
  CHECK(Holds("cold quota", kSeed, 500, 50, [] {
    const double rate = *rc::gen::inRange(0, 400) / 10.0;
    const ColdTerms terms{ 1 + *rc::gen::inRange(0, 100) / 100.0,
                           *rc::gen::inRange(0, 100) / 10.0 };
    const unsigned silent = *rc::gen::inRange(0, 20);
    const unsigned quota = ColdQuota(terms, rate, silent);
    RC_ASSERT(quota * (2.0 + silent) <= rate * terms.overshoot + terms.slack);
  }));
}

// Guards against repeats beyond the fleet's bound in any window, summed over
// hosts that do not talk about it.
TEST_CASE("balance: the repeats of all hosts keep the terms in any window")
{
  const RepeatTerms terms{ 0.2, std::chrono::seconds(10), 58 };
  constexpr unsigned kHosts = 7;
  ManualClock clock;
  std::vector<RepeatWindow> windows(kHosts, RepeatWindow(terms));
  std::deque<std::pair<TimePoint, int>> requests;
  std::deque<std::pair<TimePoint, int>> repeats;
  const auto within = [&](const auto& aList) {
    int sum = 0;
    for (const auto& [at, count] : aList) {
      sum += at + terms.window > clock.Now() ? count : 0;
    }
    return sum;
  };
  for (int step = 0; step < 600; ++step) {
    clock.Advance(std::chrono::milliseconds(100));
    // The load ends in the middle, as in an outage.
    const int asked = step < 300 ? 3 : 0;
    int repeated = 0;
    for (RepeatWindow& window : windows) {
      for (int i = 0; i < asked; ++i) {
        window.CountRequest(clock.Now());
      }
      for (int i = 0; i < 5; ++i) {
        repeated += window.Take(clock.Now(), kHosts) ? 1 : 0;
      }
    }
    requests.emplace_back(clock.Now(), asked * static_cast<int>(kHosts));
    repeats.emplace_back(clock.Now(), repeated);
    CHECK(within(repeats) <= terms.ratio * within(requests) + terms.slack);
  }
}

// Guards against a split that drifts from its weights.
TEST_CASE("balance: a split keeps its weights over every hundred requests")
{
  const std::vector<ServiceShare> shares = { { ServiceId("a"), 90 },
                                             { ServiceId("b"), 10 } };
  SplitCursor cursor;
  std::map<ServiceId, int> dealt;
  for (int i = 0; i < 100; ++i) {
    ++dealt[cursor.Next(shares)];
  }
  CHECK(dealt[ServiceId("a")] == 90);
  CHECK(dealt[ServiceId("b")] == 10);
}

// Guards against a target without an owner or with several, with an owner in
// another zone while its own has hosts, and against one host that owns all.
TEST_CASE("balance: each target has one owner, in its zone while it has hosts")
{
  const auto hosts = Hosts(3, 5);
  const std::vector<ZoneId> zones = { ZoneId("z0"),
                                      ZoneId("z1"),
                                      ZoneId("z2") };
  std::map<HostId, int> owned;
  std::map<ZoneId, int> adopted;
  for (int i = 0; i < 300; ++i) {
    TargetSpec target;
    target.id = TargetId("t" + std::to_string(i));
    target.zone = ZoneId("z" + std::to_string(i % 4));
    const ZoneId* zone = OwnerZone(target, zones);
    REQUIRE(zone != nullptr);
    if (i % 4 < 3) {
      CHECK(*zone == target.zone);
    } else {
      ++adopted[*zone];
    }
    std::vector<OwnerCandidate> zoneHosts;
    for (const OwnerCandidate& host : hosts) {
      if (host.zone == *zone) {
        zoneHosts.push_back(host);
      }
    }
    ++owned[OwnerOf(target, zoneHosts)->host];
  }
  CHECK(adopted.size() == 3);
  for (const auto& [host, count] : owned) {
    CHECK(count < 60);
  }
  CHECK(OwnerOf(TargetSpec(), {}) == nullptr);
  CHECK(OwnerZone(TargetSpec(), {}) == nullptr);
}

// Guards against both watchers in one zone (CONFIG on trinacria-badges
// hunt-d47c-35), against none, and against as many as hosts.
TEST_CASE("balance: one host of each zone watches the store, one of them first")
{
  for (int zones = 1; zones <= 6; ++zones) {
    int first = 0;
    int all = 0;
    for (int zone = 0; zone < zones; ++zone) {
      std::vector<OwnerCandidate> zoneHosts;
      std::vector<ZoneId> others;
      for (const OwnerCandidate& host : Hosts(zones, 4)) {
        if (host.zone == ZoneId("z" + std::to_string(zone))) {
          zoneHosts.push_back(host);
        } else if (others.empty() || others.back() != host.zone) {
          others.push_back(host.zone);
        }
      }
      int watching = 0;
      for (const OwnerCandidate& host : zoneHosts) {
        const WatchRole role = WatchRoleOf(host, zoneHosts, others);
        watching += role == WatchRole::kNone ? 0 : 1;
        first += role == WatchRole::kFirst ? 1 : 0;
      }
      CHECK(watching <= (zones == 1 ? 2 : 1));
      all += watching;
    }
    CHECK(first == 1);
    CHECK(all == std::min(std::max(zones, 2), 4));
  }
}

// Guards against a host that watches though it does not reach the store.
TEST_CASE("balance: a host that may not watch has no role")
{
  const auto hosts = Hosts(1, 3);
  const OwnerCandidate other{ HostId("other"), ZoneId("z0") };
  CHECK(WatchRoleOf(other, hosts, {}) == WatchRole::kNone);
}

// Guards against repeating what may have run.
TEST_CASE("balance: only what certainly did not run is repeated for once")
{
  for (const RequestClass once :
       { RequestClass::kNonIdempotent, RequestClass::kUpload }) {
    CHECK(MayRepeat(once, AttemptEnd::kNotRun));
    CHECK(MayRepeat(once, AttemptEnd::kNotSent));
    CHECK_FALSE(MayRepeat(once, AttemptEnd::kUnknown));
    CHECK_FALSE(MayRepeat(once, AttemptEnd::kTargetFailure));
    CHECK_FALSE(MayRepeat(once, AttemptEnd::kSuccess));
  }
  CHECK(MayRepeat(RequestClass::kIdempotent, AttemptEnd::kUnknown));
  CHECK(MayRepeat(RequestClass::kIdempotent, AttemptEnd::kTargetFailure));
  CHECK_FALSE(MayRepeat(RequestClass::kIdempotent, AttemptEnd::kSuccess));
}

// Guards against treating a target as warm on old knowledge: after a failed
// connection it may have started anew, and after a pause of this host
// everything may have changed.
TEST_CASE("balance: a target is warm only by a reading that is new enough")
{
  CandidateFixture fix;
  CHECK(fix.Is() == Eligibility::kMayGet);
  fix.local.OnTrouble(fix.clock.Now());
  CHECK(fix.Is() == Eligibility::kNeedsProbe);
  fix.clock.Advance(std::chrono::milliseconds(5));
  LoadReading probed;
  probed.state = ReadingState::kServing;
  probed.measuredAt = probed.probedAt = fix.clock.Now();
  fix.local.OnProbe(probed);
  CHECK(fix.Is() == Eligibility::kMayGet);
  fix.clock.Advance(std::chrono::seconds(3));
  CHECK(fix.Is() == Eligibility::kNeedsProbe);
}

// Guards against more than the quota within any second.
TEST_CASE("balance: a cold target takes its quota in a second and no more")
{
  CandidateFixture fix;
  fix.reading.coldLeft = std::chrono::seconds(3);
  CHECK(fix.Is() == Eligibility::kNo);
  fix.target.coldQuota = 2;
  CHECK(fix.Is() == Eligibility::kMayGet);
  fix.local.OnSent(fix.clock.Now());
  fix.local.OnSent(fix.clock.Now());
  CHECK(fix.Is() == Eligibility::kNo);
  fix.clock.Advance(std::chrono::milliseconds(1000));
  CHECK(fix.Is() == Eligibility::kNo);
  fix.clock.Advance(std::chrono::milliseconds(100));
  CHECK(fix.Is() == Eligibility::kMayGet);
}

// Guards against a failing target that looks idle and draws requests.
TEST_CASE("balance: a target that fails fast ranks behind busy ones")
{
  CandidateFixture failing;
  CandidateFixture busy;
  busy.reading.load.running = 2;
  for (int i = 0; i < 3; ++i) {
    failing.local.OnFailure(failing.clock.Now(), 1);
  }
  ChoiceContext context;
  context.now = failing.clock.Now();
  const auto chooser = MakeEarliestAnswerChooser(kSeed);
  const auto ranked = chooser->Rank(context, { failing.Get(), busy.Get() });
  REQUIRE(ranked.size() == 2);
  CHECK(ranked.front().index == 1);
}

// Guards against a reload of the settings that leaves the old budget in force.
TEST_CASE("balance: changed repeat terms hold at once")
{
  ManualClock clock;
  const Duration window = std::chrono::seconds(10);
  RepeatWindow repeats(RepeatTerms{ 0, window, 0 });
  repeats.CountRequest(clock.Now());
  CHECK_FALSE(repeats.Take(clock.Now(), 1));
  repeats.SetTerms(RepeatTerms{ 0, window, 10 });
  CHECK(repeats.Take(clock.Now(), 1));
}

// Guards against second attempts before the first one is late, which double
// the load, and against a target at its usual speed that counts as stuck.
TEST_CASE("balance: a second attempt waits beyond the usual work")
{
  const Duration work = std::chrono::milliseconds(200);
  CHECK(HedgeAfter(work) > work);
  CHECK(LastHedgeAfter(work) > HedgeAfter(work));
  CHECK_FALSE(LooksSlowed(100));
  CHECK(LooksSlowed(400));
}
