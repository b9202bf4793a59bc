#include "gateway/TargetScout.h"

#include "balance/Eligibility.h"
#include "gateway/ProbeReading.h"

#include <asio/steady_timer.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace lacewing {

namespace {

// Targets asked at a time, and rounds of such questions. Two thirds to three
// quarters of targets are at their usual speed at any moment, so two rounds
// find one in nearly all cases.
constexpr std::size_t kAskedFirst = 2;
// Where the first ones are full or slow their zone may be, so that most of the
// next ones are in other zones.
constexpr std::size_t kAskedNextLocal = 1;
constexpr std::size_t kAskedNextFar = 2;
constexpr unsigned kMaxRounds = 3;
constexpr unsigned kMaxRoundsUnderPressure = 2;
// A healthy target answers a probe within some milliseconds.
constexpr Duration kRoundTime = std::chrono::milliseconds(25);
// Answers that come later than the choice are waited for this long.
constexpr Duration kLateTime = std::chrono::milliseconds(300);
// A target at most this slow and full is taken without asking others.
constexpr unsigned kQuietPercent = 130;
constexpr double kGoodBusy = 0.8;

} // namespace

struct TargetScout::Search : std::enable_shared_from_this<Search>
{
  struct Question
  {
    FleetTarget target;
    std::unique_ptr<HttpConnection> connection;
    bool answered = false;
  };

  TrafficState& state;
  const ServiceId service;
  ChoiceContext context;
  Handler handler;
  asio::steady_timer timer;
  /** Keeps the targets of ranked. */
  std::shared_ptr<const FleetSnapshot> fleet;
  /** Candidates that were not asked, the best first. */
  std::vector<const FleetTarget*> ranked;
  unsigned rounds = 0;
  unsigned maxRounds = kMaxRounds;
  std::string healthPath;
  std::vector<std::unique_ptr<Question>> questions;
  bool done = false;

  Search(TrafficState& aState,
         const ServiceId& aService,
         const ChoiceContext& aContext,
         Handler aHandler)
    : state(aState)
    , service(aService)
    , context(aContext)
    , handler(std::move(aHandler))
    , timer(aState.Context())
  {
  }

  bool Prepare(const std::set<TargetId>& aExcept)
  {
    fleet = state.Fleet();
    const auto load = state.Load();
    const auto targets = fleet->targets.find(service);
    const ServiceSpec* spec =
      fleet->routes ? fleet->routes->Service(service) : nullptr;
    if (targets == fleet->targets.end() || spec == nullptr) {
      return false;
    }
    healthPath = spec->healthPath;
    if (state.PressureOf(service).High(context.now)) {
      maxRounds = kMaxRoundsUnderPressure;
    }
    std::vector<Candidate> candidates;
    candidates.reserve(targets->second.size());
    for (const FleetTarget& target : targets->second) {
      if (aExcept.count(target.spec.id) == 0) {
        candidates.push_back(MakeCandidate(target, *load));
      }
    }
    for (const Choice& choice : state.Chooser().Rank(context, candidates)) {
      ranked.push_back(candidates[choice.index].target);
    }
    return !ranked.empty();
  }

  Candidate MakeCandidate(const FleetTarget& aTarget, const LoadSnapshot& aLoad)
  {
    return { &aTarget,
             aLoad.Find(aTarget.spec.id),
             &state.ViewOf(aTarget.spec.id),
             state.Pool().HasFree(aTarget.spec) };
  }

  void NextRound()
  {
    if (rounds >= maxRounds || ranked.empty()) {
      Settle();
      return;
    }
    const bool first = rounds++ == 0;
    AskNext(first ? kAskedFirst : kAskedNextLocal, &Search::IsAny);
    if (!first) {
      AskNext(kAskedNextFar, &Search::IsFar);
    }
    ArmTimer();
  }

  static bool IsAny(const FleetTarget&) { return true; }
  static bool IsFar(const FleetTarget& aTarget) { return !aTarget.local; }

  /** Asks the best that fit and were not asked yet. */
  void AskNext(std::size_t aCount, bool (*aFits)(const FleetTarget&))
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      const auto best = std::find_if(
        ranked.begin(), ranked.end(), [aFits](const FleetTarget* aTarget) {
          return aFits(*aTarget);
        });
      if (best == ranked.end()) {
        return;
      }
      const FleetTarget& target = **best;
      ranked.erase(best);
      Ask(target);
    }
  }

  void ArmTimer()
  {
    timer.expires_after(kRoundTime);
    timer.async_wait([self = weak_from_this()](const asio::error_code& aError) {
      const auto search = self.lock();
      if (!aError && search && !search->done) {
        search->NextRound();
      }
    });
  }

  void Ask(const FleetTarget& aTarget)
  {
    auto question = std::make_unique<Question>();
    question->target = aTarget;
    question->connection = state.Pool().Take(aTarget.spec);
    Question* asked = question.get();
    questions.push_back(std::move(question));
    ++state.Counters().probes;
    OutgoingRequest request;
    request.head = ProbeHead(healthPath, aTarget.spec.endpoint);
    request.isOurs = [&names = state.Names()](const HttpHead& aHead) {
      return BelongsToProbe(aHead, names);
    };
    asked->connection->Send(
      std::move(request),
      [self = shared_from_this(), asked](const ExchangeResult& aResult) {
        self->OnAnswer(*asked, aResult);
      });
  }

  void OnAnswer(Question& aQuestion, const ExchangeResult& aResult)
  {
    aQuestion.answered = true;
    context.now = state.Now();
    const TargetId& id = aQuestion.target.spec.id;
    const LoadReading reading =
      ReadProbe(aResult, state.Names(), id, context.now);
    state.ViewOf(id).OnProbe(reading);
    if (aResult.end != ExchangeEnd::kAnswered) {
      state.ViewOf(id).OnTrouble(context.now);
    }
    if (done) {
      state.Pool().Put(aQuestion.target.spec, std::move(aQuestion.connection));
      return;
    }
    if (Meets(Demand::kGood, aQuestion)) {
      state.PressureOf(service).OnGood(context.now);
      Take(aQuestion);
      return;
    }
    const bool waiting =
      std::any_of(questions.begin(), questions.end(), [](const auto& aEach) {
        return !aEach->answered;
      });
    if (!waiting) {
      NextRound();
    }
  }

  Choice Judge(const FleetTarget& aTarget)
  {
    const auto load = state.Load();
    return state.Chooser().Judge(context, MakeCandidate(aTarget, *load));
  }

  bool MayGet(const FleetTarget& aTarget)
  {
    const auto load = state.Load();
    return EligibilityOf(MakeCandidate(aTarget, *load), context.now) ==
           Eligibility::kMayGet;
  }

  /** Whether the target has answered and meets aDemand. */
  bool Meets(Demand aDemand, const Question& aQuestion)
  {
    if (!aQuestion.answered || !aQuestion.connection ||
        !aQuestion.connection->Reusable() || !MayGet(aQuestion.target)) {
      return false;
    }
    const LocalView& view = state.ViewOf(aQuestion.target.spec.id);
    const auto reading = view.Newest(nullptr);
    const double slots = aQuestion.target.spec.slots.value();
    const Choice choice = Judge(aQuestion.target);
    const bool quiet = reading->state == ReadingState::kServing &&
                       choice.slowdownPercent <= kQuietPercent;
    switch (aDemand) {
      case Demand::kAny:
        return choice.busy < slots;
      case Demand::kQuiet:
        return quiet && choice.busy < slots;
      case Demand::kGood:
        return quiet && choice.busy + 1 <= std::max(1.0, slots * kGoodBusy);
    }
    return false;
  }

  /** No target is good: takes the best of those that answered. */
  void Settle()
  {
    context.now = state.Now();
    Question* best = nullptr;
    Choice bestChoice;
    for (const auto& question : questions) {
      // A request that queues at a target holds its caller for a whole service
      // time of another one; it waits here, where a free target ends the wait.
      if (!Meets(context.demand, *question)) {
        continue;
      }
      const Choice choice = Judge(question->target);
      if (best == nullptr || choice.expected < bestChoice.expected) {
        best = question.get();
        bestChoice = choice;
      }
    }
    state.PressureOf(service).OnNoneGood(context.now);
    if (best != nullptr) {
      Take(*best);
      return;
    }
    Finish(std::nullopt);
  }

  void Take(Question& aQuestion)
  {
    FoundTarget found;
    found.spec = aQuestion.target.spec;
    found.choice = Judge(aQuestion.target);
    found.connection = std::move(aQuestion.connection);
    Finish(std::move(found));
  }

  /** Ends the search; late answers still bring their connections back. */
  void End()
  {
    done = true;
    timer.cancel();
    bool waiting = false;
    for (const auto& question : questions) {
      if (question->answered && question->connection) {
        state.Pool().Put(question->target.spec,
                         std::move(question->connection));
      }
      waiting |= !question->answered;
    }
    if (waiting) {
      timer.expires_after(kLateTime);
      timer.async_wait(
        [self = shared_from_this()](const asio::error_code& aError) {
          if (!aError) {
            self->DropUnanswered();
          }
        });
    }
  }

  /** A target that has not answered by now takes no requests either. */
  void DropUnanswered()
  {
    const TimePoint now = state.Now();
    for (const auto& question : questions) {
      if (!question->answered) {
        LoadReading silent;
        silent.target = question->target.spec.id;
        silent.measuredAt = silent.probedAt = now;
        state.ViewOf(silent.target).OnProbe(silent);
        state.ViewOf(silent.target).OnTrouble(now);
      }
    }
    questions.clear();
  }

  void Finish(std::optional<FoundTarget> aFound)
  {
    End();
    if (const Handler found = std::exchange(handler, nullptr)) {
      found(std::move(aFound));
    }
  }
};

TargetScout::TargetScout(TrafficState& aState)
  : state_(aState)
{
}

TargetScout::~TargetScout()
{
  if (search_) {
    search_->handler = nullptr;
    if (!search_->done) {
      search_->End();
    }
  }
}

bool TargetScout::Find(const ServiceId& aService,
                       const ChoiceContext& aContext,
                       const std::set<TargetId>& aExcept,
                       Handler aHandler)
{
  auto search =
    std::make_shared<Search>(state_, aService, aContext, std::move(aHandler));
  if (!search->Prepare(aExcept)) {
    return false;
  }
  search_ = search;
  search->NextRound();
  return true;
}

bool TargetScout::Searching() const
{
  return search_ && !search_->done;
}

} // namespace lacewing
