#include "core/ManualClock.h"
#include "decision/RequestEngine.h"
#include "support/CheckProperty.h"

#include <doctest/doctest.h>

#include <map>

using namespace lacewing;

namespace {

constexpr auto kMs = std::chrono::milliseconds(1);
constexpr unsigned kTargets = 4;
constexpr unsigned kSlots = 2;
constexpr std::size_t kMaxWaiting = 6;

/** Mechanisms that a test switches off to show that its property needs them. */
struct Faults
{
  /** The engine takes POST for idempotent. */
  bool postIsIdempotent = false;
  /** A lost attempt is reported as proved not run. */
  bool lostIsNotSent = false;
  /** OnTimer is never called. */
  bool noTimers = false;
  /** The engine's clock stands still for the expiry of grants. */
  bool lateExpiry = false;
  /** Waiting places are not bounded. */
  bool noBound = false;
};

/** Drives one engine by numbers and checks every action against the truth. */
class Walk
{
public:
  explicit Walk(const Faults& aFaults)
    : faults_(aFaults)
  {
    EngineOptions options;
    options.maxWaiting = faults_.noBound ? 1000 : kMaxWaiting;
    options.maxWaitingTotal = options.maxWaiting;
    options.maxWait = 40 * kMs;
    engine_ = RequestEngine::Make(clock_, options).value();
    Publish();
  }

  /** Empty when no property was violated. */
  std::string Run(const std::vector<std::uint32_t>& aSteps)
  {
    for (const std::uint32_t step : aSteps) {
      Step(step % 16, step / 16);
      const std::size_t bound = kMaxWaiting + 2 * kTargets * kSlots;
      Expect(engine_->OpenRequests() <= bound, "too many open requests");
    }
    Pass(1000 * kMs);
    for (const auto& [id, request] : requests_) {
      Expect(request.finished || request.gone, "a request was not finished");
    }
    Expect(engine_->OpenRequests() == 0, "the engine keeps ended requests");
    return violation_;
  }

private:
  struct Request
  {
    bool post = false;
    bool finished = false;
    bool gone = false;
    bool running = false;
    /** An attempt ended without proof that it was not run. */
    bool mayHaveRun = false;
  };
  struct Attempt
  {
    std::uint64_t request = 0;
    TargetId target;
  };

  void Expect(bool aHolds, const char* aViolation)
  {
    if (!aHolds && violation_.empty()) {
      violation_ = aViolation;
    }
  }

  void Step(std::uint32_t aKind, std::uint32_t aDetail)
  {
    if (aKind < 6) {
      Ask(aDetail);
    } else if (aKind < 10) {
      End(aDetail);
    } else if (aKind < 13) {
      Pass(aDetail % 20 * kMs);
    } else if (aKind == 13 && !requests_.empty()) {
      auto& [id, request] =
        *std::next(requests_.begin(), aDetail % requests_.size());
      request.gone = true;
      Act(engine_->OnCallerGone(RequestId(id)));
    } else if (aKind == 14) {
      cold_[aDetail % kTargets] = !cold_[aDetail % kTargets];
      ++epoch_;
      Publish();
    } else if (aKind == 15) {
      Give(aDetail);
    }
  }

  void Publish()
  {
    auto snapshot = std::make_shared<RoutingSnapshot>();
    for (const std::string name : { "a", "b" }) {
      ServiceRoute route;
      route.id = ServiceId(name);
      route.slots = SlotCount(kSlots);
      route.deadline = 60 * kMs;
      route.idempotentMethods = { "GET" };
      if (faults_.postIsIdempotent) {
        route.idempotentMethods.insert("POST");
      }
      for (unsigned i = 0; i < kTargets; ++i) {
        TargetRoute target;
        target.id = TargetId(name + std::to_string(i));
        target.epoch = Epoch(epoch_);
        target.phase = cold_[i] ? TargetPhase::kCold : TargetPhase::kWarm;
        route.targets.push_back(target);
      }
      snapshot->services[route.id] = std::make_shared<ServiceRoute>(route);
    }
    Act(engine_->OnSnapshot(snapshot));
  }

  void Give(std::uint32_t aDetail)
  {
    grants_.clear();
    std::vector<HeldGrant> held;
    for (unsigned i = 0; i < kTargets; ++i) {
      HeldGrant grant{ TargetId("a" + std::to_string(i)),
                       Epoch(epoch_),
                       SlotCount(1),
                       clock_.Now() + (aDetail + i) % 20 * kMs };
      grants_[grant.target] = grant;
      if (faults_.lateExpiry) {
        grant.expiry += 1000 * kMs;
      }
      held.push_back(grant);
    }
    Act(engine_->OnGrants(held));
  }

  void Ask(std::uint32_t aDetail)
  {
    RequestInfo info;
    info.id = RequestId(++lastRequest_);
    info.service = ServiceId(aDetail % 4 == 0 ? "b" : "a");
    info.method = aDetail % 3 == 0 ? "GET" : "POST";
    requests_[lastRequest_].post = info.method == "POST";
    Act(engine_->OnRequest(info));
  }

  void End(std::uint32_t aDetail)
  {
    if (attempts_.empty()) {
      return;
    }
    const auto chosen =
      std::next(attempts_.begin(), aDetail % attempts_.size());
    const AttemptId id(chosen->first);
    Request& request = requests_[chosen->second.request];
    attempts_.erase(chosen);
    request.running = false;
    const std::uint32_t how = aDetail / 7 % 6;
    if (how < 3) {
      AttemptAnswer answer;
      answer.notRun = how == 1;
      answer.draining = how == 2;
      request.mayHaveRun = request.mayHaveRun || !answer.notRun;
      answered_ = id;
      Act(engine_->OnAnswer(id, answer));
      // An event that comes twice changes nothing.
      Act(engine_->OnAnswer(id, answer));
      return;
    }
    const AttemptFailure failures[] = { AttemptFailure::kNotSent,
                                        AttemptFailure::kLost,
                                        AttemptFailure::kTimedOut };
    AttemptFailure failure = failures[how - 3];
    request.mayHaveRun =
      request.mayHaveRun || failure != AttemptFailure::kNotSent;
    if (faults_.lostIsNotSent && failure == AttemptFailure::kLost) {
      failure = AttemptFailure::kNotSent;
    }
    Act(engine_->OnAttemptFailed(id, failure));
  }

  void Pass(Duration aTime)
  {
    const TimePoint end = clock_.Now() + aTime;
    while (!faults_.noTimers && engine_->NextTimer() &&
           *engine_->NextTimer() <= end) {
      clock_.Set(std::max(clock_.Now(), *engine_->NextTimer()));
      Act(engine_->OnTimer());
    }
    clock_.Set(end);
  }

  void Act(const Actions& aActions)
  {
    for (const Action& action : aActions) {
      if (const auto* send = std::get_if<SendAttempt>(&action)) {
        Sent(*send);
      } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
        Request& request =
          requests_[attempts_[cancel->attempt.value()].request];
        request.mayHaveRun = true;
        request.running = false;
        attempts_.erase(cancel->attempt.value());
      } else {
        Finished(std::get<FinishRequest>(action));
      }
    }
  }

  void Sent(const SendAttempt& aSend)
  {
    Request& request = requests_[aSend.request.value()];
    Expect(!request.finished && !request.gone, "sent after the end");
    Expect(!request.running, "two attempts at the same time");
    Expect(!request.post || !request.mayHaveRun,
           "a non-idempotent request may run twice");
    request.running = true;
    attempts_[aSend.attempt.value()] = { aSend.request.value(), aSend.target };
    const unsigned index = aSend.target.value().back() - '0';
    std::size_t here = 0;
    for (const auto& attempt : attempts_) {
      here += attempt.second.target == aSend.target ? 1 : 0;
    }
    Expect(here <= kSlots, "more requests than slots at a target");
    if (cold_[index]) {
      const auto grant = grants_.find(aSend.target);
      Expect(grant != grants_.end() && grant->second.epoch >= Epoch(epoch_) &&
               clock_.Now() < grant->second.expiry &&
               here <= grant->second.slots.value(),
             "sent to a cold target without a valid grant");
    }
  }

  void Finished(const FinishRequest& aFinish)
  {
    Request& request = requests_[aFinish.request.value()];
    Expect(!request.finished && !request.gone, "finished twice");
    Expect(!request.running, "finished with an attempt in progress");
    request.finished = true;
    const bool ran = aFinish.reason == FinishReason::kAnswered;
    Expect(ran == (aFinish.disposition == Disposition::kRan),
           "reason and disposition differ");
    Expect(!ran || aFinish.attempt == answered_, "answer of another request");
    Expect(aFinish.disposition != Disposition::kNotRun || !request.mayHaveRun,
           "told not run, but it may have run");
  }

  Faults faults_;
  ManualClock clock_;
  std::unique_ptr<RequestEngine> engine_;
  std::map<std::uint64_t, Request> requests_;
  std::map<std::uint64_t, Attempt> attempts_;
  std::map<TargetId, HeldGrant> grants_;
  bool cold_[kTargets] = {};
  std::uint64_t epoch_ = 1;
  std::uint64_t lastRequest_ = 0;
  AttemptId answered_;
  std::string violation_;
};

bool WalksHold(const Faults& aFaults)
{
  const Report report = aFaults.postIsIdempotent || aFaults.lostIsNotSent ||
                            aFaults.noTimers || aFaults.lateExpiry ||
                            aFaults.noBound
                          ? Report::kQuiet
                          : Report::kPrint;
  return Holds(
    "engine",
    20261204,
    300,
    400,
    [&](const std::vector<std::uint32_t>& aSteps) {
      const std::string violation = Walk(aFaults).Run(aSteps);
      RC_LOG(violation);
      RC_ASSERT(violation.empty());
    },
    report);
}

} // namespace

// Guards against requests that are finished twice or never, non-idempotent
// requests that may run twice (I6), a false "not run" (I5), work for a cold
// target without a grant (I2) and unbounded memory, under random requests,
// answers, failures, closed callers, snapshots and grants.
TEST_CASE("the engine keeps its invariants under random events")
{
  CHECK(WalksHold({}));
}

// Each fault switches off one mechanism; the walk has to notice, or it would
// not guard against that mechanism's loss.
TEST_CASE("the walk notices each planted fault of the engine's surroundings")
{
  Faults faults;
  SUBCASE("POST taken for idempotent")
  {
    faults.postIsIdempotent = true;
  }
  SUBCASE("lost taken for not sent")
  {
    faults.lostIsNotSent = true;
  }
  SUBCASE("no timers")
  {
    faults.noTimers = true;
  }
  SUBCASE("grants believed after their expiry")
  {
    faults.lateExpiry = true;
  }
  SUBCASE("waiting places not bounded")
  {
    faults.noBound = true;
  }
  CHECK_FALSE(WalksHold(faults));
}
