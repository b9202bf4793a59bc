#include "balance/TargetChooser.h"

#include "balance/Eligibility.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace lacewing {

namespace {

// The span over which neighbours' load on a target's machine changes.
constexpr double kSlowdownDecaySeconds = 0.3;
// The span over which the requests at a target change, about one service time.
constexpr double kBusyDecaySeconds = 0.15;
// Share of its slots that a target usually has taken.
constexpr double kUsualOccupancy = 0.3;
// Share of a slowdown that is expected to stay for the whole request.
constexpr double kSlowdownPersistence = 0.6;
// A target in a cold start works at about half its speed.
constexpr double kColdFactor = 2;
// Targets work slower when nearly full.
constexpr double kNearlyFull = 0.8;
constexpr double kNearlyFullFactor = 1.7;
// A target that refuses or is silent is tried only when others are worse.
constexpr double kRefusingSeconds = 1.5;
constexpr double kUnresponsiveSeconds = 4;
// A failure costs the caller about the time of a second attempt and more.
constexpr double kFailureSeconds = 2.5;
// A new connection takes a round trip and some work of the target, and each is
// priced at one or two per cent of what a request is worth: targets that are
// about as good are chosen by their open connections.
constexpr double kConnectSeconds = 0.03;
// Bytes between zones are priced: about 2.5 ms of a caller's time a kilobyte.
constexpr double kZoneSeconds = 0.006;
constexpr double kZoneSecondsPerByte = 2.5e-6;
// Expected answers within this share of the earliest count as equal, so that
// hosts with the same picture do not all choose the same target.
constexpr double kTieMargin = 0.12;

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/** Requests there, with those sent since the reading. */
unsigned BusyAt(const Candidate& aCandidate, const LoadReading& aReading)
{
  const unsigned reported = aReading.load.running + aReading.load.waiting;
  return std::max(reported + aCandidate.local->SentSince(aReading.measuredAt),
                  aCandidate.local->InFlight());
}

/** Work at a slowdown that fades towards the usual. */
double SlowdownFactor(const TargetLoad& aLoad, double aAge)
{
  const double slowdown = aLoad.slowdownPercent / 100.0;
  const double remaining =
    kSlowdownPersistence * std::exp(-aAge / kSlowdownDecaySeconds);
  return std::max(1 + (slowdown - 1) * remaining, 0.2);
}

/**
 * Requests that are expected there by now: an old figure fades towards the
 * usual, or all hosts would send to the targets that were idle last.
 */
double ExpectedBusy(const Choice& aChoice, double aSlots)
{
  const double usual = aSlots * kUsualOccupancy;
  const double remaining =
    std::exp(-Seconds(aChoice.readingAge) / kBusyDecaySeconds);
  return usual + (aChoice.busy - usual) * remaining;
}

Choice Estimate(const ChoiceContext& aContext, const Candidate& aCandidate)
{
  const bool warm = IsWarm(aCandidate, aContext.now);
  const auto reading = aCandidate.local->NewestReading(aCandidate.reading);
  const double slots =
    std::max<double>(1, aCandidate.target->spec.slots.value());
  const double work = Seconds(aContext.usualServiceTime);
  Choice choice;
  choice.cold = !warm;
  double factor = 1;
  choice.busy = aCandidate.local->InFlight();
  double penalty = 0;
  if (reading) {
    choice.readingAge = aContext.now - reading->measuredAt;
    choice.busy = BusyAt(aCandidate, *reading);
    choice.slowdownPercent = reading->load.slowdownPercent;
    factor = SlowdownFactor(reading->load, Seconds(choice.readingAge));
    penalty += reading->state == ReadingState::kRefusing ? kRefusingSeconds : 0;
    penalty +=
      reading->state == ReadingState::kUnresponsive ? kUnresponsiveSeconds : 0;
  }
  const double busy = ExpectedBusy(choice, slots);
  if (busy + 1 > slots * kNearlyFull) {
    factor *= kNearlyFullFactor;
  }
  const double queued = std::max(0.0, busy + 1 - slots);
  penalty += queued * work * factor / slots;
  penalty += kFailureSeconds * aCandidate.local->FailureShare(aContext.now);
  penalty += aCandidate.connected ? 0 : kConnectSeconds;
  if (!aCandidate.target->local) {
    penalty += kZoneSeconds + kZoneSecondsPerByte *
                                static_cast<double>(aContext.bytes.value());
  }
  // Load within the slots matters little but breaks ties towards idle ones.
  penalty += 0.1 * work * std::min(1.0, busy / slots);
  const double speed = warm ? 1 : kColdFactor;
  choice.expected = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(work * factor * speed + penalty));
  return choice;
}

class EarliestResponseChooser final : public TargetChooser
{
public:
  explicit EarliestResponseChooser(std::uint64_t aSeed)
    : random_(aSeed)
  {
  }

  std::vector<Choice> Rank(const ChoiceContext& aContext,
                           const std::vector<Candidate>& aCandidates) override
  {
    std::uniform_real_distribution<double> tieFactor(1, 1 + kTieMargin);
    std::vector<std::pair<double, Choice>> ranked;
    for (std::size_t i = 0; i < aCandidates.size(); ++i) {
      if (EligibilityOf(aCandidates[i], aContext.now) ==
          Eligibility::kNotEligible) {
        continue;
      }
      Choice choice = Estimate(aContext, aCandidates[i]);
      choice.index = i;
      ranked.emplace_back(Seconds(choice.expected) * tieFactor(random_),
                          choice);
    }
    std::sort(
      ranked.begin(), ranked.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.first < aRight.first;
      });
    std::vector<Choice> choices;
    choices.reserve(ranked.size());
    for (const auto& [order, choice] : ranked) {
      choices.push_back(choice);
    }
    return choices;
  }

  Choice Judge(const ChoiceContext& aContext,
               const Candidate& aCandidate) const override
  {
    return Estimate(aContext, aCandidate);
  }

private:
  std::minstd_rand random_;
};

} // namespace

std::unique_ptr<TargetChooser> MakeEarliestResponseChooser(std::uint64_t aSeed)
{
  return std::make_unique<EarliestResponseChooser>(aSeed);
}

} // namespace lacewing
