#include "balance/TargetObservations.h"

#include <algorithm>

namespace lacewing {

namespace {

// Only failures of the last seconds count. A target that fails part of its
// requests loses traffic after one or two failures and regains it some seconds
// after it recovers.
constexpr Duration kFailureHalfLife = std::chrono::seconds(2);
constexpr double kMaxCount = 50;
// Send times are kept slightly longer than one second, the period of the
// cold-start limit.
constexpr Duration kSentRetention = std::chrono::milliseconds(1100);

} // namespace

TargetObservations::TargetObservations()
  : failures_(kFailureHalfLife)
  , successes_(kFailureHalfLife)
{
}

void TargetObservations::OnSent(TimePoint aNow)
{
  ++inFlight_;
  slowdown_.OnSent(aNow);
  sent_.erase(sent_.begin(),
              std::find_if(sent_.begin(), sent_.end(), [aNow](TimePoint aSent) {
                return aSent + kSentRetention >= aNow;
              }));
  sent_.push_back(aNow);
}

void TargetObservations::OnEnded(TimePoint aSentAt)
{
  --inFlight_;
  slowdown_.OnEnded(aSentAt);
}

void TargetObservations::OnLoad(TimePoint aNow, const TargetLoad& aLoad)
{
  own_.load = aLoad;
  own_.measuredAt = aNow;
}

void TargetObservations::OnProbe(const LoadReading& aReading)
{
  own_ = aReading;
}

void TargetObservations::OnConnectionFailure(TimePoint aNow)
{
  lastConnectionFailure_ = aNow;
}

void TargetObservations::OnFailure(TimePoint aNow, double aWeight)
{
  failures_.Add(aNow, aWeight, kMaxCount);
}

void TargetObservations::OnSuccess(TimePoint aNow, double aFactor)
{
  successes_.Add(aNow, 1, kMaxCount);
  slowdown_.OnResponse(aNow, aFactor);
}

double TargetObservations::FailureShare(TimePoint aNow) const
{
  const double failures = failures_.At(aNow);
  // Adding one success lets a single old failure decay towards zero.
  return failures / (failures + successes_.At(aNow) + 1);
}

std::optional<LoadReading> TargetObservations::NewestReading(
  const LoadReading* aShared) const
{
  const TimePoint never;
  LoadReading reading = aShared == nullptr ? LoadReading() : *aShared;
  if (own_.measuredAt > reading.measuredAt) {
    reading.load = own_.load;
    reading.measuredAt = own_.measuredAt;
  }
  if (own_.probedAt > reading.probedAt) {
    reading.state = own_.state;
    reading.coldLeft = own_.coldLeft;
    reading.probedAt = own_.probedAt;
  }
  if (reading.measuredAt == never && reading.probedAt == never) {
    return std::nullopt;
  }
  return reading;
}

unsigned TargetObservations::SentSince(TimePoint aTime) const
{
  return static_cast<unsigned>(
    std::count_if(sent_.begin(), sent_.end(), [aTime](TimePoint aSent) {
      return aSent > aTime;
    }));
}

} // namespace lacewing
