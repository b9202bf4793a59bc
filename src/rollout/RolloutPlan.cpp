#include "rollout/RolloutPlan.h"

#include <algorithm>
#include <array>

namespace lacewing {

namespace {

struct Step
{
  /** Share of the requests, in basis points. */
  unsigned share;
  /** Length as a fraction of the period. */
  double length;
};

constexpr std::array<Step, RolloutPlan::kTrialSteps + 1> kSteps = { {
  { 0, 0 },
  { 500, 0.4 },
  { 1200, 0.12 },
  { 2500, 0.12 },
} };

// A fault may appear some seconds after the version's start.
constexpr Duration kMinFirstStep = std::chrono::seconds(3);
// A step after a late first one is shortened a little to end the trial in time.
constexpr double kTrialEnd = 0.64;
constexpr double kShortestLength = 0.1;
// A trial that is later still ends by this part of the period, however short
// its steps get.
constexpr double kLatestTrialEnd = 0.8;
constexpr double kDeadline = 0.9;
// Attempts that prove a version on three routes.
constexpr double kWantedAttempts = 200;
// The rest is for a trial that takes longer than planned.
constexpr double kPlannedPart = 0.75;
constexpr unsigned kMaxTrialShare = 5000;

Duration Part(Duration aPeriod, double aPart)
{
  return std::chrono::duration_cast<Duration>(aPeriod * aPart);
}

double TrialPart()
{
  constexpr double kFullShare = 10000;
  double part = 0;
  for (const Step& step : kSteps) {
    part += step.share / kFullShare * step.length;
  }
  return part;
}

} // namespace

RolloutPlan::RolloutPlan(Duration aPeriod)
  : period_(aPeriod)
{
}

BasisPoints RolloutPlan::ShareAt(std::uint32_t aStep,
                                 double aExpectedRequests,
                                 double aAllowed) const
{
  const unsigned share = kSteps[std::min(aStep, kTrialSteps)].share;
  if (aExpectedRequests <= 0) {
    return BasisPoints(share);
  }
  const double wanted = std::min(kWantedAttempts, kPlannedPart * aAllowed);
  const double factor = wanted / (aExpectedRequests * TrialPart());
  const double raised = std::min<double>(kMaxTrialShare, share * factor);
  return BasisPoints(std::max(share, static_cast<unsigned>(raised)));
}

Duration RolloutPlan::EndOf(std::uint32_t aStep,
                            Duration aBegan,
                            Duration aFirstRequest) const
{
  if (aStep <= 1) {
    return std::max(LengthOf(1), aFirstRequest + kMinFirstStep);
  }
  const auto steps = static_cast<int>(kTrialSteps + 1 - aStep);
  const Duration planned =
    std::clamp((Part(period_, kTrialEnd) - aBegan) / steps,
               Part(period_, kShortestLength),
               LengthOf(aStep));
  const Duration left = (Part(period_, kLatestTrialEnd) - aBegan) / steps;
  return aBegan + std::min(planned, std::max(Duration(0), left));
}

Duration RolloutPlan::LengthOf(std::uint32_t aStep) const
{
  return Part(period_, kSteps[std::min(aStep, kTrialSteps)].length);
}

Duration RolloutPlan::Deadline() const
{
  return Part(period_, kDeadline);
}

} // namespace lacewing
