#include "gateway/TargetSearch.h"

#include "balance/ConnectionCap.h"
#include "balance/Eligibility.h"
#include "balance/MeetsQuality.h"
#include "balance/UnprobedChoice.h"
#include "gateway/ProbeReading.h"
#include "spill/ZoneFirst.h"

#include <algorithm>
#include <utility>

namespace lacewing {

namespace {

// A healthy target answers a probe within some milliseconds.
constexpr Duration kRoundTimeout = std::chrono::milliseconds(25);
// How long probes may still be answered after the choice.
constexpr Duration kLateResponseTime = std::chrono::milliseconds(300);

std::ptrdiff_t Offset(std::size_t aIndex)
{
  return static_cast<std::ptrdiff_t>(aIndex);
}

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
{
}

bool TargetSearch::Prepare(const std::set<TargetId>& aExcluded,
                           TargetGroup aGroup)
{
  fleet_ = state_.Fleet();
  const auto load = state_.Load();
  const std::vector<FleetTarget>* targets = fleet_->Find(service_, aGroup);
  const ServiceSpec* spec =
    fleet_->routes ? fleet_->routes->Service(service_) : nullptr;
  if (targets == nullptr || spec == nullptr) {
    return false;
  }
  healthPath_ = spec->healthPath;
  connectionCap_ =
    ConnectionCap(spec->maxConnections, state_.SharingHosts(*fleet_));
  std::vector<Candidate> candidates;
  candidates.reserve(targets->size());
  for (const FleetTarget& target : *targets) {
    if (aExcluded.count(target.spec.id) == 0) {
      candidates.push_back(MakeCandidate(target, *load));
    }
  }
  for (const Choice& choice : state_.Chooser().Rank(context_, candidates)) {
    ranked_.push_back(candidates[choice.index].target);
  }
  if (ranked_.empty()) {
    return false;
  }
  if (!context_.firstZone.empty()) {
    RankZoneFirst(context_.firstZone, ranked_);
  }
  reportsLoad_ = MayReportLoad(*ranked_.front(), *load);
  plan_.emplace(state_.ProbeBudgetOf(service_, *fleet_),
                state_.PressureOf(service_).IsHigh(context_.now),
                reportsLoad_);
  return true;
}

bool TargetSearch::MayReportLoad(const FleetTarget& aTarget,
                                 const LoadSnapshot& aLoad)
{
  const TargetId& id = aTarget.spec.id;
  const auto reading = state_.ViewOf(id).NewestReading(aLoad.Find(id));
  return !reading || reading->load || reading->state != ReadingState::kServing;
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
  if (!plan_->HasRound() || ranked_.empty()) {
    ChooseBest();
    return;
  }
  const ProbeRound round = plan_->NextRound();
  std::size_t sent = ProbeNext(round.any, &TargetSearch::IsAny);
  sent += ProbeNext(round.remote, &TargetSearch::IsInRemoteZone);
  if (sent == 0) {
    // The budget or the limit of connections to the targets is used up.
    ChooseBest();
    return;
  }
  ArmTimer();
}

std::size_t TargetSearch::ProbeNext(std::size_t aCount,
                                    bool (*aFits)(const FleetTarget&))
{
  std::size_t sent = 0;
  while (sent < aCount) {
    const auto best = std::find_if(
      ranked_.begin(), ranked_.end(), [aFits](const FleetTarget* aTarget) {
        return aFits(*aTarget);
      });
    if (best == ranked_.end()) {
      break;
    }
    if (!plan_->Allows()) {
      state_.Counters().probesDenied += aCount - sent;
      break;
    }
    sent += ProbeRanked(best) ? 1 : 0;
  }
  return sent;
}

bool TargetSearch::ProbeRanked(std::vector<const FleetTarget*>::iterator aAt)
{
  const FleetTarget& target = **aAt;
  ranked_.erase(aAt);
  return SendProbe(target);
}

void TargetSearch::ArmTimer()
{
  timer_.Arm(kRoundTimeout, [self = weak_from_this()] {
    if (const auto search = self.lock()) {
      search->NextRound();
    }
  });
}

bool TargetSearch::SendProbe(const FleetTarget& aTarget)
{
  auto probe = std::make_unique<Probe>();
  probe->target = aTarget;
  probe->connection = state_.Pool().Take(aTarget.spec, connectionCap_);
  if (!probe->connection) {
    ++state_.Counters().connectionsDenied;
    return false;
  }
  Probe* sent = probe.get();
  probes_.push_back(std::move(probe));
  plan_->Count();
  ++state_.Counters().probes;
  OutgoingRequest request;
  request.head = ProbeHead(healthPath_, aTarget.spec.endpoint);
  request.match = [&names = state_.Names()](const HttpHead& aHead) {
    return MatchProbe(aHead, names);
  };
  sent->connection->Send(
    std::move(request),
    [self = weak_from_this(), sent](const ExchangeResult& aResult) {
      if (const auto search = self.lock()) {
        search->OnProbeEnded(*sent, aResult);
      }
    });
  return true;
}

void TargetSearch::OnProbeEnded(Probe& aProbe, const ExchangeResult& aResult)
{
  aProbe.completed = true;
  context_.now = state_.Now();
  const TargetId& id = aProbe.target.spec.id;
  const LoadReading reading =
    ReadProbe(aResult, state_.Names(), id, context_.now);
  state_.ViewOf(id).OnProbe(reading);
  if (aResult.end != ExchangeEnd::kAnswered) {
    state_.ViewOf(id).OnConnectionFailure(context_.now);
  }
  if (done_) {
    state_.Pool().Put(aProbe.target.spec, std::move(aProbe.connection));
    return;
  }
  if (Meets(TargetQuality::kGood, aProbe)) {
    state_.PressureOf(service_).OnGoodTarget(context_.now);
    Take(aProbe);
    return;
  }
  if (!Waiting()) {
    NextRound();
  }
}

bool TargetSearch::Waiting() const
{
  return std::any_of(probes_.begin(), probes_.end(), [](const auto& aEach) {
    return !aEach->completed;
  });
}

Choice TargetSearch::Judge(const FleetTarget& aTarget)
{
  const auto load = state_.Load();
  return state_.Chooser().Judge(context_, MakeCandidate(aTarget, *load));
}

bool TargetSearch::IsEligible(const FleetTarget& aTarget)
{
  const auto load = state_.Load();
  return EligibilityOf(MakeCandidate(aTarget, *load), context_.now) ==
         Eligibility::kEligible;
}

bool TargetSearch::Meets(TargetQuality aDemand, const Probe& aProbe)
{
  if (!aProbe.completed || !aProbe.connection ||
      !aProbe.connection->Reusable() || !IsEligible(aProbe.target)) {
    return false;
  }
  const TargetObservations& view = state_.ViewOf(aProbe.target.spec.id);
  const auto reading = view.NewestReading(nullptr);
  return MeetsQuality(
    aDemand, reading->state, Judge(aProbe.target), aProbe.target.spec.slots);
}

void TargetSearch::ChooseBest()
{
  context_.now = state_.Now();
  Probe* best = nullptr;
  Choice bestChoice;
  for (const auto& probe : probes_) {
    // A request queued at a target waits for the full service time of another
    // one. It waits in this host instead, where any target that becomes free
    // ends the wait.
    if (!Meets(context_.minQuality, *probe)) {
      continue;
    }
    const Choice choice = Judge(probe->target);
    if (best == nullptr || choice.expected < bestChoice.expected) {
      best = probe.get();
      bestChoice = choice;
    }
  }
  if (best == nullptr && plan_->Denied() && ChooseWithoutProbe()) {
    return;
  }
  // Without reports a slowdown is known from earlier requests only and may have
  // ended, so it is no reason to refuse requests.
  if (reportsLoad_) {
    state_.PressureOf(service_).OnNoGoodTarget(context_.now);
  }
  if (best != nullptr) {
    Take(*best);
    return;
  }
  Finish(std::nullopt);
}

bool TargetSearch::ChooseWithoutProbe()
{
  const auto load = state_.Load();
  while (!ranked_.empty()) {
    std::vector<Candidate> candidates;
    for (const FleetTarget* target : ranked_) {
      candidates.push_back(MakeCandidate(*target, *load));
    }
    const UnprobedChoice choice =
      ChooseUnprobed(state_.Chooser(), context_, candidates);
    if (choice.probe && plan_->MayOverdraw()) {
      if (ProbeRanked(ranked_.begin() + Offset(*choice.probe))) {
        ArmTimer();
        return true;
      }
      continue;
    }
    const auto use = choice.use ? choice.use : choice.otherwise;
    if (!use) {
      return false;
    }
    const auto at = ranked_.begin() + Offset(*use);
    const FleetTarget& target = **at;
    ranked_.erase(at);
    if (auto connection =
          state_.Pool().TakeForRequest(target.spec, connectionCap_)) {
      TakeUnprobed(target, std::move(connection));
      return true;
    }
    ++state_.Counters().connectionsDenied;
  }
  return false;
}

void TargetSearch::TakeUnprobed(const FleetTarget& aTarget,
                                std::unique_ptr<HttpConnection> aConnection)
{
  FoundTarget found;
  found.spec = aTarget.spec;
  found.choice = Judge(aTarget);
  found.connection = std::move(aConnection);
  Finish(std::move(found));
}

void TargetSearch::Take(Probe& aProbe)
{
  FoundTarget found;
  found.spec = aProbe.target.spec;
  found.choice = Judge(aProbe.target);
  found.connection = std::move(aProbe.connection);
  // A response that the target writes once more must not be taken for the
  // response to the request.
  if (!found.connection->Unambiguous() || !found.connection->Quiet()) {
    // Closed first, so that the number of connections stays the same.
    found.connection.reset();
    found.connection = state_.Pool().TakeForRequest(found.spec);
  }
  Finish(std::move(found));
}

void TargetSearch::End()
{
  done_ = true;
  timer_.Cancel();
  bool waiting = false;
  for (const auto& probe : probes_) {
    if (probe->completed && probe->connection) {
      state_.Pool().Put(probe->target.spec, std::move(probe->connection));
    }
    waiting |= !probe->completed;
  }
  if (waiting) {
    state_.Open().Add(shared_from_this());
    timer_.Arm(kLateResponseTime, [self = weak_from_this()] {
      if (const auto search = self.lock()) {
        search->DropUnresponsive();
      }
    });
  }
}

void TargetSearch::DropUnresponsive()
{
  const TimePoint now = state_.Now();
  for (const auto& probe : probes_) {
    if (!probe->completed) {
      LoadReading unresponsive;
      unresponsive.target = probe->target.spec.id;
      unresponsive.measuredAt = unresponsive.probedAt = now;
      state_.ViewOf(unresponsive.target).OnProbe(unresponsive);
      state_.ViewOf(unresponsive.target).OnConnectionFailure(now);
    }
  }
  probes_.clear();
  state_.Open().Remove(this);
}

void TargetSearch::Finish(std::optional<FoundTarget> aFound)
{
  End();
  if (const Handler found = std::exchange(handler_, nullptr)) {
    found(std::move(aFound));
  }
}

void TargetSearch::Cancel()
{
  handler_ = nullptr;
  if (!done_) {
    End();
  }
}

} // namespace lacewing
