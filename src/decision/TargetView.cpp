#include "decision/TargetView.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace lacewing {

namespace {

// A target that starts leaving is out of the snapshot within 3 s (I7).
constexpr Duration kDrainingPause = std::chrono::seconds(3);
// Load that one failure stands for, in requests: more than the slots of
// today's targets (3 or 6), so that a failing target never looks idle.
constexpr double kFailureLoad = 8;
constexpr double kMostFailureLoad = 8 * kFailureLoad;
// One failure keeps a target out for about 0.75 s, repeated ones for 1.5 s.
constexpr Duration kFailureHalfLife = std::chrono::milliseconds(250);
// Reports describe the load of a moment; with service times of about 10 ms
// half of what they say is outdated after this time.
constexpr Duration kReportHalfLife = std::chrono::milliseconds(20);
constexpr int kLatencyWeight = 8;

} // namespace

TargetView::TargetView(TargetRoute aRoute, const ZoneId& aOwnZone)
  : route_(std::move(aRoute))
  , inOwnZone_(route_.zone == aOwnZone)
  , failures_(kFailureHalfLife)
{
}

double TargetView::SentSinceReport() const
{
  return std::max(0.0,
                  double(InFlight().value()) - report_.ownInFlight.value());
}

double TargetView::OthersInFlight(TimePoint aNow,
                                  SlotCount aSlots,
                                  double aUsual) const
{
  if (report_.time == TimePoint()) {
    return aUsual;
  }
  const double others =
    std::max(0.0, report_.load * aSlots.value() - report_.ownInFlight.value());
  DecayingValue excess(kReportHalfLife);
  excess.Set(report_.time, others - aUsual);
  return aUsual + excess.At(aNow);
}

double TargetView::Penalty(TimePoint aNow, Duration aSlow) const
{
  double penalty = failures_.At(aNow);
  if (!sent_.empty() && aSlow > Duration(0)) {
    const Duration overdue = aNow - sent_.front() - aSlow;
    if (overdue > Duration(0)) {
      penalty += kFailureLoad;
    }
  }
  return penalty;
}

void TargetView::Update(const TargetRoute& aRoute, const ZoneId& aOwnZone)
{
  if (route_.epoch < aRoute.epoch) {
    // The new epoch may belong to an instance that other hosts saw first; its
    // first answer here must not count as one more change.
    locallyCold_ = false;
    instance_ = InstanceId();
    drainingUntil_ = TimePoint();
    slowAnswers_ = 0;
  }
  route_ = aRoute;
  inOwnZone_ = aRoute.zone == aOwnZone;
}

void TargetView::SetGrant(const std::optional<HeldGrant>& aGrant)
{
  grant_ = aGrant;
}

bool TargetView::NeedsGrant() const
{
  return locallyCold_ || route_.phase != TargetPhase::kWarm;
}

bool TargetView::MaySend(TimePoint aNow, SlotCount aLimit) const
{
  if (Drains(aNow) || !(InFlight() < aLimit)) {
    return false;
  }
  if (!NeedsGrant()) {
    return true;
  }
  // After a local sign of coldness only a grant of a later epoch counts.
  const Epoch needed(route_.epoch.value() + (locallyCold_ ? 1 : 0));
  return grant_ && grant_->epoch >= needed && aNow < grant_->expiry &&
         InFlight() < grant_->slots;
}

void TargetView::OnSent(TimePoint aNow)
{
  sent_.push_back(aNow);
  changed_ = true;
}

void TargetView::OnAnswered(TimePoint aNow,
                            TimePoint aSent,
                            const AttemptAnswer& aAnswer,
                            Duration aSlow)
{
  Leave(aSent);
  if (aAnswer.reportedLoad) {
    report_.time = aNow;
    report_.load = std::max(0.0, *aAnswer.reportedLoad);
    report_.ownInFlight = InFlight();
  }
  if (aAnswer.draining) {
    drainingUntil_ = aNow + kDrainingPause;
  }
  const bool changed = !instance_.empty() && !aAnswer.instance.empty() &&
                       instance_ != aAnswer.instance;
  if (!aAnswer.instance.empty()) {
    instance_ = aAnswer.instance;
  }
  if (changed) {
    MarkCold(instance_);
  } else if (aAnswer.cold) {
    MarkCold();
  }
  constexpr int kServerError = 500;
  if (aAnswer.notRun || aAnswer.status >= kServerError) {
    ++failed_;
    AddFailure(aNow);
    return;
  }
  ++answered_;
  const Duration latency = aNow - aSent;
  lastAnswer_ = aNow;
  latency_ = latency_ == Duration(0)
               ? latency
               : latency_ + (latency - latency_) / kLatencyWeight;
  if (aSlow > Duration(0) && latency > aSlow) {
    ++slowAnswers_;
    AddFailure(aNow);
  } else {
    slowAnswers_ = 0;
  }
}

void TargetView::OnFailed(TimePoint aNow,
                          TimePoint aSent,
                          AttemptFailure aFailure)
{
  Leave(aSent);
  ++failed_;
  AddFailure(aNow);
  if (aFailure == AttemptFailure::kNotSent ||
      aFailure == AttemptFailure::kLost) {
    MarkCold();
  }
}

void TargetView::OnCancelled(TimePoint aNow, TimePoint aSent, Duration aSlow)
{
  Leave(aSent);
  if (aSlow > Duration(0) && aNow - aSent > aSlow) {
    AddFailure(aNow);
  }
}

void TargetView::MarkCold(const InstanceId& aNewInstance)
{
  if (locallyCold_ || route_.phase == TargetPhase::kCold) {
    return;
  }
  locallyCold_ = true;
  reportCold_ = true;
  changed_ = true;
  coldInstance_ = aNewInstance;
  slowAnswers_ = 0;
}

void TargetView::Leave(TimePoint aSent)
{
  const auto found = std::find(sent_.begin(), sent_.end(), aSent);
  assert(found != sent_.end());
  sent_.erase(found);
  changed_ = true;
}

void TargetView::AddFailure(TimePoint aNow)
{
  failures_.Add(aNow, kFailureLoad, kMostFailureLoad);
}

std::optional<TargetObservation> TargetView::TakeObservation(TimePoint aNow)
{
  if (!changed_ && wanted_ == SlotCount(0)) {
    return std::nullopt;
  }
  TargetObservation seen;
  seen.target = route_.id;
  seen.answered = std::exchange(answered_, 0);
  seen.failed = std::exchange(failed_, 0);
  seen.inFlight = InFlight();
  seen.wanted = std::exchange(wanted_, SlotCount(0));
  seen.latency = latency_;
  seen.looksCold = std::exchange(reportCold_, false);
  seen.instance = seen.looksCold ? coldInstance_ : instance_;
  seen.draining = Drains(aNow);
  changed_ = false;
  return seen;
}

} // namespace lacewing
