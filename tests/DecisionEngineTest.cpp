#include "core/ManualClock.h"
#include "decision/RequestEngine.h"

#include <doctest/doctest.h>

using namespace lacewing;

namespace {

constexpr auto kMs = std::chrono::milliseconds(1);

/** One engine with one service "s" of warm targets "t0", "t1", ... */
struct Fixture
{
  explicit Fixture(int aTargets, unsigned aSlots, EngineOptions aOptions = {})
  {
    engine = RequestEngine::Make(clock, aOptions).value();
    route.id = ServiceId("s");
    route.slots = SlotCount(aSlots);
    route.idempotentMethods = { "GET" };
    for (int i = 0; i < aTargets; ++i) {
      TargetRoute target;
      target.id = TargetId("t" + std::to_string(i));
      target.phase = TargetPhase::kWarm;
      target.epoch = Epoch(1);
      route.targets.push_back(target);
    }
    Publish();
  }

  Actions Publish()
  {
    auto snapshot = std::make_shared<RoutingSnapshot>();
    snapshot->services[route.id] = std::make_shared<ServiceRoute>(route);
    return engine->OnSnapshot(snapshot);
  }

  Actions Ask(std::uint64_t aId, const std::string& aMethod = "POST")
  {
    RequestInfo info;
    info.id = RequestId(aId);
    info.service = route.id;
    info.method = aMethod;
    return engine->OnRequest(info);
  }

  ManualClock clock;
  ServiceRoute route;
  std::unique_ptr<RequestEngine> engine;
};

template<class T>
std::vector<T> Only(const Actions& aActions)
{
  std::vector<T> found;
  for (const Action& action : aActions) {
    if (const T* match = std::get_if<T>(&action)) {
      found.push_back(*match);
    }
  }
  return found;
}

} // namespace

// Guards against queueing at a target: the third request must wait here and
// be sent when a slot is free.
TEST_CASE("a request waits at the entry host while all slots are taken")
{
  Fixture fix(2, 1);
  const auto first = Only<SendAttempt>(fix.Ask(1));
  const auto second = Only<SendAttempt>(fix.Ask(2));
  REQUIRE(first.size() == 1);
  REQUIRE(second.size() == 1);
  CHECK(first[0].target != second[0].target);
  CHECK(fix.Ask(3).empty());
  const Actions after = fix.engine->OnAnswer(first[0].attempt, {});
  CHECK(Only<FinishRequest>(after).at(0).disposition == Disposition::kRan);
  CHECK(Only<SendAttempt>(after).at(0).request == RequestId(3));
}

// Guards against running a non-idempotent request twice (I6) and against
// telling the caller "not run" when it may have run (I5).
TEST_CASE("a lost non-idempotent request is not sent again")
{
  Fixture fix(3, 2);
  const auto sent = Only<SendAttempt>(fix.Ask(1));
  const Actions after =
    fix.engine->OnAttemptFailed(sent.at(0).attempt, AttemptFailure::kLost);
  CHECK(Only<SendAttempt>(after).empty());
  CHECK(Only<FinishRequest>(after).at(0).disposition == Disposition::kUnknown);
}

// Guards against giving up although the target proved that nothing ran.
TEST_CASE("a refused connection is retried at another target")
{
  Fixture fix(3, 2);
  const auto sent = Only<SendAttempt>(fix.Ask(1));
  const auto again = Only<SendAttempt>(
    fix.engine->OnAttemptFailed(sent.at(0).attempt, AttemptFailure::kNotSent));
  REQUIRE(again.size() == 1);
  CHECK(again[0].target != sent[0].target);
}

// Guards against requests that stay open after their deadline, and against a
// deadline before sending that is reported as unknown.
TEST_CASE("deadlines finish waiting and running requests once")
{
  Fixture fix(1, 1);
  fix.route.deadline = 50 * kMs;
  fix.Publish();
  const auto sent = Only<SendAttempt>(fix.Ask(1));
  CHECK(fix.Ask(2).empty());
  const TimePoint deadline = fix.clock.Now() + 50 * kMs;
  std::vector<FinishRequest> ends;
  while (fix.clock.Now() < deadline) {
    CHECK(ends.empty());
    REQUIRE(fix.engine->NextTimer());
    fix.clock.Set(*fix.engine->NextTimer());
    ends = Only<FinishRequest>(fix.engine->OnTimer());
  }
  REQUIRE(ends.size() == 2);
  CHECK(ends[0].disposition == Disposition::kUnknown);
  CHECK(ends[1].disposition == Disposition::kNotRun);
  CHECK(ends[1].reason == FinishReason::kDeadlineBeforeSend);
  CHECK(fix.engine->OnAnswer(sent.at(0).attempt, {}).empty());
  CHECK(fix.engine->OpenRequests() == 0);
}

// Guards against work for a cold target without a grant (I2).
TEST_CASE("a cold target gets requests only under a valid grant")
{
  Fixture fix(1, 4);
  fix.route.targets[0].phase = TargetPhase::kCold;
  fix.Publish();
  CHECK(fix.Ask(1).empty());
  CHECK(fix.engine->TakeObservations().at(0).wanted == SlotCount(1));
  HeldGrant grant;
  grant.target = fix.route.targets[0].id;
  grant.epoch = Epoch(1);
  grant.slots = SlotCount(1);
  grant.expiry = fix.clock.Now() + 20 * kMs;
  const auto sent = Only<SendAttempt>(fix.engine->OnGrants({ grant }));
  REQUIRE(sent.size() == 1);
  CHECK(fix.Ask(2).empty());
  fix.clock.Advance(20 * kMs);
  const Actions after = fix.engine->OnAnswer(sent[0].attempt, {});
  CHECK(Only<SendAttempt>(after).empty());
}
