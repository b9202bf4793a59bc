#include "gateway/TargetSearch.h"

#include "balance/Eligibility.h"
#include "gateway/ProbeReading.h"

#include <algorithm>
#include <utility>

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

TargetSearch::TargetSearch(TrafficState& aState,
                           const ServiceId& aService,
                           const ChoiceContext& aContext,
                           Handler aHandler)
  : state_(aState)
  , service_(aService)
  , context_(aContext)
  , handler_(std::move(aHandler))
  , timer_(aState.Context())
  , maxRounds_(kMaxRounds)
{
}

bool TargetSearch::Prepare(const std::set<TargetId>& aExcept)
{
  fleet_ = state_.Fleet();
  const auto load = state_.Load();
  const auto targets = fleet_->targets.find(service_);
  const ServiceSpec* spec =
    fleet_->routes ? fleet_->routes->Service(service_) : nullptr;
  if (targets == fleet_->targets.end() || spec == nullptr) {
    return false;
  }
  healthPath_ = spec->healthPath;
  if (state_.PressureOf(service_).IsHigh(context_.now)) {
    maxRounds_ = kMaxRoundsUnderPressure;
  }
  std::vector<Candidate> candidates;
  candidates.reserve(targets->second.size());
  for (const FleetTarget& target : targets->second) {
    if (aExcept.count(target.spec.id) == 0) {
      candidates.push_back(MakeCandidate(target, *load));
    }
  }
  for (const Choice& choice : state_.Chooser().Rank(context_, candidates)) {
    ranked_.push_back(candidates[choice.index].target);
  }
  return !ranked_.empty();
}

Candidate TargetSearch::MakeCandidate(const FleetTarget& aTarget,
                                      const LoadSnapshot& aLoad)
{
  return { &aTarget,
           aLoad.Find(aTarget.spec.id),
           &state_.ViewOf(aTarget.spec.id),
           state_.Pool().HasFree(aTarget.spec) };
}

void TargetSearch::NextRound()
{
  if (rounds_ >= maxRounds_ || ranked_.empty()) {
    Settle();
    return;
  }
  const bool first = rounds_++ == 0;
  AskNext(first ? kAskedFirst : kAskedNextLocal, &TargetSearch::IsAny);
  if (!first) {
    AskNext(kAskedNextFar, &TargetSearch::IsFar);
  }
  ArmTimer();
}

void TargetSearch::AskNext(std::size_t aCount,
                           bool (*aFits)(const FleetTarget&))
{
  for (std::size_t i = 0; i < aCount; ++i) {
    const auto best = std::find_if(
      ranked_.begin(), ranked_.end(), [aFits](const FleetTarget* aTarget) {
        return aFits(*aTarget);
      });
    if (best == ranked_.end()) {
      return;
    }
    const FleetTarget& target = **best;
    ranked_.erase(best);
    Ask(target);
  }
}

void TargetSearch::ArmTimer()
{
  timer_.expires_after(kRoundTime);
  timer_.async_wait([self = weak_from_this()](const asio::error_code& aError) {
    const auto search = self.lock();
    if (!aError && search && !search->done_) {
      search->NextRound();
    }
  });
}

void TargetSearch::Ask(const FleetTarget& aTarget)
{
  auto question = std::make_unique<Question>();
  question->target = aTarget;
  question->connection = state_.Pool().Take(aTarget.spec);
  Question* asked = question.get();
  questions_.push_back(std::move(question));
  ++state_.Counters().probes;
  OutgoingRequest request;
  request.head = ProbeHead(healthPath_, aTarget.spec.endpoint);
  request.isOurs = [&names = state_.Names()](const HttpHead& aHead) {
    return BelongsToProbe(aHead, names);
  };
  asked->connection->Send(
    std::move(request),
    [self = shared_from_this(), asked](const ExchangeResult& aResult) {
      self->OnAnswer(*asked, aResult);
    });
}

void TargetSearch::OnAnswer(Question& aQuestion, const ExchangeResult& aResult)
{
  aQuestion.answered = true;
  context_.now = state_.Now();
  const TargetId& id = aQuestion.target.spec.id;
  const LoadReading reading =
    ReadProbe(aResult, state_.Names(), id, context_.now);
  state_.ViewOf(id).OnProbe(reading);
  if (aResult.end != ExchangeEnd::kAnswered) {
    state_.ViewOf(id).OnConnectionFailure(context_.now);
  }
  if (done_) {
    state_.Pool().Put(aQuestion.target.spec, std::move(aQuestion.connection));
    return;
  }
  if (Meets(TargetQuality::kGood, aQuestion)) {
    state_.PressureOf(service_).OnGoodTarget(context_.now);
    Take(aQuestion);
    return;
  }
  const bool waiting =
    std::any_of(questions_.begin(), questions_.end(), [](const auto& aEach) {
      return !aEach->answered;
    });
  if (!waiting) {
    NextRound();
  }
}

Choice TargetSearch::Judge(const FleetTarget& aTarget)
{
  const auto load = state_.Load();
  return state_.Chooser().Judge(context_, MakeCandidate(aTarget, *load));
}

bool TargetSearch::MayGet(const FleetTarget& aTarget)
{
  const auto load = state_.Load();
  return EligibilityOf(MakeCandidate(aTarget, *load), context_.now) ==
         Eligibility::kEligible;
}

bool TargetSearch::Meets(TargetQuality aDemand, const Question& aQuestion)
{
  if (!aQuestion.answered || !aQuestion.connection ||
      !aQuestion.connection->Reusable() || !MayGet(aQuestion.target)) {
    return false;
  }
  const TargetObservations& view = state_.ViewOf(aQuestion.target.spec.id);
  const auto reading = view.NewestReading(nullptr);
  const double slots = aQuestion.target.spec.slots.value();
  const Choice choice = Judge(aQuestion.target);
  const bool quiet = reading->state == ReadingState::kServing &&
                     choice.slowdownPercent <= kQuietPercent;
  switch (aDemand) {
    case TargetQuality::kAny:
      return choice.busy < slots;
    case TargetQuality::kQuiet:
      return quiet && choice.busy < slots;
    case TargetQuality::kGood:
      return quiet && choice.busy + 1 <= std::max(1.0, slots * kGoodBusy);
  }
  return false;
}

void TargetSearch::Settle()
{
  context_.now = state_.Now();
  Question* best = nullptr;
  Choice bestChoice;
  for (const auto& question : questions_) {
    // A request that queues at a target holds its caller for a whole service_
    // time of another one; it waits here, where a free target ends the wait.
    if (!Meets(context_.minQuality, *question)) {
      continue;
    }
    const Choice choice = Judge(question->target);
    if (best == nullptr || choice.expected < bestChoice.expected) {
      best = question.get();
      bestChoice = choice;
    }
  }
  state_.PressureOf(service_).OnNoGoodTarget(context_.now);
  if (best != nullptr) {
    Take(*best);
    return;
  }
  Finish(std::nullopt);
}

void TargetSearch::Take(Question& aQuestion)
{
  FoundTarget found;
  found.spec = aQuestion.target.spec;
  found.choice = Judge(aQuestion.target);
  found.connection = std::move(aQuestion.connection);
  Finish(std::move(found));
}

void TargetSearch::End()
{
  done_ = true;
  timer_.cancel();
  bool waiting = false;
  for (const auto& question : questions_) {
    if (question->answered && question->connection) {
      state_.Pool().Put(question->target.spec, std::move(question->connection));
    }
    waiting |= !question->answered;
  }
  if (waiting) {
    timer_.expires_after(kLateTime);
    timer_.async_wait(
      [self = shared_from_this()](const asio::error_code& aError) {
        if (!aError) {
          self->DropUnanswered();
        }
      });
  }
}

void TargetSearch::DropUnanswered()
{
  const TimePoint now = state_.Now();
  for (const auto& question : questions_) {
    if (!question->answered) {
      LoadReading silent;
      silent.target = question->target.spec.id;
      silent.measuredAt = silent.probedAt = now;
      state_.ViewOf(silent.target).OnProbe(silent);
      state_.ViewOf(silent.target).OnConnectionFailure(now);
    }
  }
  questions_.clear();
}

void TargetSearch::Finish(std::optional<FoundTarget> aFound)
{
  End();
  if (const Handler found = std::exchange(handler_, nullptr)) {
    found(std::move(aFound));
  }
}

void TargetSearch::Drop()
{
  handler_ = nullptr;
  if (!done_) {
    End();
  }
}

} // namespace lacewing
