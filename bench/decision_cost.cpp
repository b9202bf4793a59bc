#include "core/ManualClock.h"
#include "core/MonotonicClock.h"
#include "decision/RequestEngine.h"
#include "decision/RoutingStrategy.h"

#include <malloc.h>

#include <cstdio>
#include <deque>

namespace lacewing {

namespace {

constexpr int kWarmUp = 20000;
constexpr int kRequests = 200000;

std::shared_ptr<const ServiceRoute> MakeRoute(const std::string& aName,
                                              unsigned aTargets)
{
  ServiceRoute route;
  route.id = ServiceId(aName);
  route.slots = SlotCount(6);
  route.idempotentMethods = { "GET" };
  for (unsigned i = 0; i < aTargets; ++i) {
    TargetRoute target;
    target.id = TargetId(aName + "-" + std::to_string(1000 + i));
    target.endpoint = { "127.0.0.1", 8080 };
    target.zone = ZoneId("zone-" + std::to_string(i % 3));
    target.phase = TargetPhase::kWarm;
    route.targets.push_back(target);
  }
  return std::make_shared<const ServiceRoute>(route);
}

std::shared_ptr<const RoutingSnapshot> MakeSnapshot(unsigned aTargets)
{
  auto snapshot = std::make_shared<RoutingSnapshot>();
  snapshot->ownZone = ZoneId("zone-0");
  const auto route = MakeRoute("service", aTargets);
  snapshot->services[route->id] = route;
  return snapshot;
}

/** Requests with half of the slots in use; counts OnRequest and OnAnswer. */
void Measure(const std::string& aStrategy, unsigned aTargets)
{
  const auto snapshot = MakeSnapshot(aTargets);
  ManualClock clock;
  EngineOptions options;
  options.strategy = aStrategy;
  const auto engine = RequestEngine::Make(clock, options).value();
  const std::size_t before = mallinfo2().uordblks;
  engine->OnSnapshot(snapshot);
  const std::size_t state = mallinfo2().uordblks - before;

  const MonotonicClock real;
  std::deque<AttemptId> running;
  RequestInfo info;
  info.service = ServiceId("service");
  info.method = "GET";
  AttemptAnswer answer;
  answer.instance = InstanceId("i");
  answer.reportedLoad = 0.5;
  TimePoint start;
  for (int i = 0; i < kWarmUp + kRequests; ++i) {
    if (i == kWarmUp) {
      start = real.Now();
    }
    clock.Advance(std::chrono::microseconds(20));
    info.id = RequestId(static_cast<std::uint64_t>(i));
    for (const Action& action : engine->OnRequest(info)) {
      if (const auto* send = std::get_if<SendAttempt>(&action)) {
        running.push_back(send->attempt);
      }
    }
    if (running.size() > aTargets * 3) {
      engine->OnAnswer(running.front(), answer);
      running.pop_front();
    }
  }
  const auto taken =
    std::chrono::duration<double, std::nano>(real.Now() - start);
  std::printf("%-22s %4u targets %8.0f ns/request",
              aStrategy.c_str(),
              aTargets,
              taken.count() / kRequests);
  // With few targets the allocator's reuse of freed blocks hides the state.
  constexpr unsigned kManyTargets = 300;
  if (aTargets >= kManyTargets) {
    std::printf(" %6zu bytes/target", state / aTargets);
  }
  std::printf("\n");
}

/** The control events of a worker with all services of the planned size. */
void MeasureControl()
{
  constexpr unsigned kServices = 580;
  constexpr unsigned kTargets = 26;
  constexpr int kRounds = 100;
  ManualClock clock;
  const auto engine = RequestEngine::Make(clock, {}).value();
  RoutingSnapshot snapshot;
  snapshot.ownZone = ZoneId("zone-0");
  for (unsigned i = 0; i < kServices; ++i) {
    const auto route = MakeRoute("service-" + std::to_string(i), kTargets);
    snapshot.services[route->id] = route;
  }
  engine->OnSnapshot(std::make_shared<const RoutingSnapshot>(snapshot));
  const MonotonicClock real;
  Duration changing{ 0 };
  Duration observing{ 0 };
  for (int i = 0; i < kRounds; ++i) {
    const auto route = MakeRoute("service-7", kTargets);
    snapshot.services[route->id] = route;
    const auto next = std::make_shared<const RoutingSnapshot>(snapshot);
    const TimePoint start = real.Now();
    engine->OnSnapshot(next);
    const TimePoint middle = real.Now();
    engine->TakeObservations();
    observing += real.Now() - middle;
    changing += middle - start;
  }
  const auto us = [](Duration aTotal) {
    return std::chrono::duration<double, std::micro>(aTotal).count() / kRounds;
  };
  std::printf("580 services x 26 targets: snapshot with one changed service "
              "%.0f us, observations without traffic %.0f us\n",
              us(changing),
              us(observing));
}

} // namespace

} // namespace lacewing

/** Prints the CPU time of routed requests and of control events. */
int main()
{
  for (const std::string& name : lacewing::RoutingStrategyNames()) {
    for (const unsigned targets : { 6U, 30U, 300U }) {
      lacewing::Measure(name, targets);
    }
  }
  lacewing::MeasureControl();
  return 0;
}
