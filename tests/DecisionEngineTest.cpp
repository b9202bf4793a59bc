#include "core/ManualClock.h"
#include "decision/RequestEngine.h"

#include <doctest/doctest.h>

#include <functional>
#include <map>

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

namespace {

/** How a target ends an attempt, and after which time. */
struct Behaviour
{
  Duration time = 10 * kMs;
  int status = 200;
};

/** Sends a request each millisecond; returns the attempts of each target. */
std::map<TargetId, int> Drive(
  Fixture& aFix,
  Duration aLength,
  const std::function<Behaviour(const TargetId&)>& aBehaviour)
{
  static std::uint64_t request = 1000;
  std::map<TargetId, int> sent;
  std::multimap<TimePoint, std::pair<AttemptId, AttemptAnswer>> running;
  const auto take = [&](const Actions& aActions) {
    for (const SendAttempt& send : Only<SendAttempt>(aActions)) {
      ++sent[send.target];
      const Behaviour behaviour = aBehaviour(send.target);
      AttemptAnswer answer;
      answer.status = behaviour.status;
      running.emplace(aFix.clock.Now() + behaviour.time,
                      std::make_pair(send.attempt, answer));
    }
  };
  const TimePoint end = aFix.clock.Now() + aLength;
  while (aFix.clock.Now() < end) {
    aFix.clock.Advance(kMs);
    while (!running.empty() && running.begin()->first <= aFix.clock.Now()) {
      const auto ended = running.extract(running.begin()).mapped();
      take(aFix.engine->OnAnswer(ended.first, ended.second));
    }
    take(aFix.engine->OnTimer());
    take(aFix.Ask(++request));
  }
  return sent;
}

HeldGrant MakeGrant(const Fixture& aFix, std::uint64_t aEpoch)
{
  HeldGrant grant;
  grant.target = aFix.route.targets[0].id;
  grant.epoch = Epoch(aEpoch);
  grant.slots = SlotCount(2);
  grant.expiry = aFix.clock.Now() + 1000 * kMs;
  return grant;
}

} // namespace

// Guards against a target that fails fast and draws the requests because it
// looks idle.
TEST_CASE("a target that fails fast loses its share of the requests")
{
  Fixture fix(10, 6);
  const auto healthy = [](const TargetId&) { return Behaviour{}; };
  Drive(fix, 200 * kMs, healthy);
  const TargetId bad("t3");
  auto sent = Drive(fix, 1000 * kMs, [&](const TargetId& aTarget) {
    return aTarget == bad ? Behaviour{ 0 * kMs, 500 } : Behaviour{};
  });
  // An even share would be 100 requests.
  CHECK(sent[bad] < 10);
  // It gets its share again after it has recovered.
  Drive(fix, 3000 * kMs, healthy);
  sent = Drive(fix, 1000 * kMs, healthy);
  CHECK(sent[bad] > 50);
}

// Guards against a target that slows down tenfold and keeps its share until
// its answers come.
TEST_CASE("a slow target loses its share within tens of milliseconds")
{
  Fixture fix(10, 6);
  Drive(fix, 500 * kMs, [](const TargetId&) { return Behaviour{}; });
  const TargetId slow("t3");
  const auto behave = [&](const TargetId& aTarget) {
    return Behaviour{ aTarget == slow ? 100 * kMs : 10 * kMs };
  };
  Drive(fix, 60 * kMs, behave);
  // An even share would be 50 requests.
  CHECK(Drive(fix, 500 * kMs, behave)[slow] < 10);
}

// Guards against sends to a target that was warm and shows a sign of
// coldness, and against signs that are not reported.
TEST_CASE("a sign of coldness makes a target cold until a later epoch")
{
  Fixture fix(1, 4);
  const auto first = Only<SendAttempt>(fix.Ask(1));
  AttemptAnswer answer;
  answer.instance = InstanceId("old");
  fix.engine->OnAnswer(first.at(0).attempt, answer);
  const auto second = Only<SendAttempt>(fix.Ask(2));
  const AttemptId attempt = second.at(0).attempt;
  SUBCASE("refused")
  {
    fix.engine->OnAttemptFailed(attempt, AttemptFailure::kNotSent);
  }
  SUBCASE("lost")
  {
    fix.engine->OnAttemptFailed(attempt, AttemptFailure::kLost);
  }
  SUBCASE("changed instance")
  {
    answer.instance = InstanceId("new");
    fix.engine->OnAnswer(attempt, answer);
  }
  SUBCASE("says so")
  {
    answer.cold = true;
    fix.engine->OnAnswer(attempt, answer);
  }
  CHECK(fix.engine->TakeObservations().at(0).looksCold);
  CHECK(Only<SendAttempt>(fix.Ask(3)).empty());
  // A grant of the old epoch may come from before the restart.
  CHECK(Only<SendAttempt>(fix.engine->OnGrants({ MakeGrant(fix, 1) })).empty());
  CHECK(Only<SendAttempt>(fix.Publish()).empty());
  fix.engine->OnGrants({ MakeGrant(fix, 2) });
  CHECK(fix.engine->TakeObservations().at(0).inFlight > SlotCount(0));
  fix.route.targets[0].epoch = Epoch(2);
  fix.Publish();
  CHECK_FALSE(Only<SendAttempt>(fix.Ask(4)).empty());
}

// Guards against new work for a target that says it is draining (I7).
TEST_CASE("a draining target gets no new work")
{
  Fixture fix(1, 2);
  AttemptAnswer answer;
  answer.draining = true;
  fix.engine->OnAnswer(Only<SendAttempt>(fix.Ask(1)).at(0).attempt, answer);
  CHECK(Only<SendAttempt>(fix.Ask(2)).empty());
  fix.Publish();
  CHECK(Only<SendAttempt>(fix.Ask(3)).empty());
}

// Guards against a burst on one service that takes the waiting places of the
// others.
TEST_CASE("a burst on one service leaves waiting places to another")
{
  EngineOptions options;
  options.maxWaiting = 100;
  options.maxWaitingTotal = 100;
  Fixture fix(1, 1, options);
  auto snapshot = std::make_shared<RoutingSnapshot>();
  for (const char* name : { "burst", "quiet" }) {
    auto route = std::make_shared<ServiceRoute>(fix.route);
    route->id = ServiceId(name);
    route->targets[0].id = TargetId(name);
    snapshot->services[route->id] = route;
  }
  fix.engine->OnSnapshot(snapshot);
  const auto ask = [&](std::uint64_t aId, const char* aService) {
    RequestInfo info;
    info.id = RequestId(aId);
    info.service = ServiceId(aService);
    return Only<FinishRequest>(fix.engine->OnRequest(info));
  };
  for (std::uint64_t i = 1; i <= 101; ++i) {
    CHECK(ask(i, "burst").empty());
  }
  CHECK(ask(102, "burst").at(0).reason == FinishReason::kOverload);
  CHECK(ask(103, "quiet").empty());
  const auto evicted = ask(104, "quiet");
  REQUIRE(evicted.size() == 1);
  CHECK(evicted[0].request == RequestId(101));
  CHECK(evicted[0].disposition == Disposition::kNotRun);
}

// Guards against requests that wait although they cannot be served in time.
TEST_CASE("a request is refused at once when the wait exceeds its time")
{
  Fixture fix(1, 1);
  Drive(fix, 100 * kMs, [](const TargetId&) { return Behaviour{ 10 * kMs }; });
  RequestInfo info;
  info.id = RequestId(1);
  info.service = fix.route.id;
  info.callerDeadline = 20 * kMs;
  const auto ends = Only<FinishRequest>(fix.engine->OnRequest(info));
  REQUIRE(ends.size() == 1);
  CHECK(ends[0].reason == FinishReason::kDeadlineBeforeSend);
  CHECK(ends[0].disposition == Disposition::kNotRun);
}

// Guards against retries that multiply an outage along a call chain.
TEST_CASE("retries stay within the budget")
{
  Fixture fix(20, 6);
  int sent = 0;
  for (std::uint64_t i = 1; i <= 2000; ++i) {
    Actions actions = fix.Ask(i, "GET");
    for (auto sends = Only<SendAttempt>(actions); !sends.empty();
         sends = Only<SendAttempt>(actions)) {
      ++sent;
      AttemptAnswer shed;
      shed.status = 503;
      shed.notRun = true;
      actions = fix.engine->OnAnswer(sends[0].attempt, shed);
    }
    fix.clock.Advance(kMs);
    fix.engine->OnTimer();
  }
  CHECK(sent > 2000);
  CHECK(sent <= 2000 + 2000 / 10 + 50);
}

// Guards against a misspelled strategy that is replaced silently.
TEST_CASE("an unknown strategy is an error that names the known ones")
{
  ManualClock clock;
  EngineOptions options;
  options.strategy = "zone-slot";
  const auto engine = RequestEngine::Make(clock, options);
  REQUIRE_FALSE(engine);
  CHECK(engine.error().remedy.find("zone-slots") != std::string::npos);
}
