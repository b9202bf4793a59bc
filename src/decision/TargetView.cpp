#include "decision/TargetView.h"

#include <cassert>
#include <utility>

namespace lacewing {

namespace {

// A draining target normally leaves the next snapshot within 3 s (I7).
constexpr Duration kDrainingPause = std::chrono::seconds(3);

} // namespace

TargetView::TargetView(TargetRoute aRoute)
  : route_(std::move(aRoute))
{
}

void TargetView::Update(const TargetRoute& aRoute)
{
  if (route_.epoch < aRoute.epoch) {
    locallyCold_ = false;
  }
  route_ = aRoute;
  drainingUntil_ = TimePoint();
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
  if (Drains(aNow) || !(inFlight_ < aLimit)) {
    return false;
  }
  if (!NeedsGrant()) {
    return true;
  }
  // After a local sign of coldness only a grant of a later epoch counts.
  const Epoch needed(route_.epoch.value() + (locallyCold_ ? 1 : 0));
  return grant_ && grant_->epoch >= needed && aNow < grant_->expiry &&
         inFlight_ < grant_->slots;
}

void TargetView::OnSent(TimePoint)
{
  ++inFlight_;
  changed_ = true;
}

void TargetView::OnAnswered(TimePoint aNow,
                            TimePoint aSent,
                            const AttemptAnswer& aAnswer)
{
  Leave();
  if (aAnswer.draining) {
    drainingUntil_ = aNow + kDrainingPause;
  }
  if (aAnswer.cold || (!instance_.empty() && !aAnswer.instance.empty() &&
                       instance_ != aAnswer.instance)) {
    MarkCold();
  }
  if (!aAnswer.instance.empty()) {
    instance_ = aAnswer.instance;
  }
  if (aAnswer.notRun) {
    ++failed_;
    return;
  }
  ++answered_;
  const Duration latency = aNow - aSent;
  latency_ = latency_ == Duration(0) ? latency : (7 * latency_ + latency) / 8;
}

void TargetView::OnFailed(TimePoint, TimePoint, AttemptFailure aFailure)
{
  Leave();
  ++failed_;
  if (aFailure == AttemptFailure::kNotSent ||
      aFailure == AttemptFailure::kLost) {
    MarkCold();
  }
}

void TargetView::OnCancelled(TimePoint)
{
  Leave();
}

void TargetView::MarkCold()
{
  if (!NeedsGrant()) {
    locallyCold_ = true;
    reportCold_ = true;
  }
}

void TargetView::Leave()
{
  assert(inFlight_ > SlotCount(0));
  --inFlight_;
  changed_ = true;
}

std::optional<TargetObservation> TargetView::TakeObservation(TimePoint aNow)
{
  if (!changed_ && wanted_ == SlotCount(0)) {
    return std::nullopt;
  }
  TargetObservation seen;
  seen.target = route_.id;
  seen.instance = instance_;
  seen.answered = std::exchange(answered_, 0);
  seen.failed = std::exchange(failed_, 0);
  seen.inFlight = inFlight_;
  seen.wanted = std::exchange(wanted_, SlotCount(0));
  seen.latency = latency_;
  seen.looksCold = std::exchange(reportCold_, false);
  seen.draining = Drains(aNow);
  changed_ = false;
  return seen;
}

} // namespace lacewing
