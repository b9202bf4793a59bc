#include "balance/TargetChooser.h"

#include "balance/Eligibility.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace lacewing {

namespace {

// Time constant with which the load of neighbouring workloads on a target's
// machine changes.
constexpr double kSlowdownDecaySeconds = 0.3;
// Time constant with which the number of requests at a target changes, about
// one service time.
constexpr double kBusyDecaySeconds = 0.15;
// Share of a target's slots that are usually taken.
constexpr double kUsualOccupancy = 0.3;
// Share of a slowdown that is expected to last for the complete request.
constexpr double kSlowdownPersistence = 0.6;
// A target in its cold start runs at about half its speed.
constexpr double kColdFactor = 2;
// A target slows down by kNearlyFullFactor when more than this share of its
// slots is taken.
constexpr double kNearlyFull = 0.8;
constexpr double kNearlyFullFactor = 1.7;
// Load that fits the slots matters little, but breaks ties in favour of idle
// targets. The requests of this host at a target that does not report its load
// stand for those of all hosts, so they count more.
constexpr double kOccupancyPrice = 0.1;
constexpr double kUnreportedOccupancyPrice = 1;
// Penalties that leave a refusing or unresponsive target to be tried only if
// all others are worse.
constexpr double kRefusingSeconds = 1.5;
constexpr double kUnresponsiveSeconds = 4;
// A failure costs the caller at least about the time of a second attempt.
constexpr double kFailureSeconds = 2.5;
// A new connection costs a round trip and some work of the target. Its price is
// one or two percent of a request's value, so that among about equally good
// targets one with an open connection is preferred.
constexpr double kConnectSeconds = 0.03;
// Traffic between zones costs about 2.5 ms of a caller's time per kilobyte.
constexpr double kZoneSeconds = 0.006;
constexpr double kZoneSecondsPerByte = 2.5e-6;
// Expected response times within this share of the earliest one count as equal,
// so that hosts with the same readings do not all choose the same target.
constexpr double kTieMargin = 0.12;

// Keeps the expected time of an odd load within a Duration.
constexpr double kMaxExpectedSeconds = 1e6;

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/** Returns the number of requests at the target; see Choice::busy. */
unsigned BusyAt(const Candidate& aCandidate, const LoadReading& aReading)
{
  const unsigned reported = aReading.load->running + aReading.load->waiting;
  return std::max(reported + aCandidate.local->SentSince(aReading.measuredAt),
                  aCandidate.local->InFlight());
}

/**
 * Returns the expected service time as a multiple of the usual one. The
 * reported slowdown decays towards 1 with the age of the reading, aAge in
 * seconds.
 */
double SlowdownFactor(const TargetLoad& aLoad, double aAge)
{
  const double slowdown = aLoad.slowdownPercent / 100.0;
  const double remaining =
    kSlowdownPersistence * std::exp(-aAge / kSlowdownDecaySeconds);
  return std::max(1 + (slowdown - 1) * remaining, 0.2);
}

/**
 * Returns the expected number of requests at the target now. An old count
 * decays towards the usual one; otherwise all hosts would send to the targets
 * that were idle at the last reading.
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
  const bool unreported =
    reading && !reading->load && reading->state == ReadingState::kServing;
  double factor = 1;
  choice.busy = aCandidate.local->InFlight();
  double busy = choice.busy;
  double penalty = 0;
  if (reading) {
    choice.readingAge = aContext.now - reading->measuredAt;
    penalty += reading->state == ReadingState::kRefusing ? kRefusingSeconds : 0;
    penalty +=
      reading->state == ReadingState::kUnresponsive ? kUnresponsiveSeconds : 0;
  }
  if (reading && reading->load) {
    choice.loadReported = true;
    choice.busy = BusyAt(aCandidate, *reading);
    choice.slowdownPercent = reading->load->slowdownPercent;
    factor = SlowdownFactor(*reading->load, Seconds(choice.readingAge));
    busy = ExpectedBusy(choice, slots);
  } else if (unreported) {
    choice.slowdownPercent = aCandidate.local->Slowdown().PercentAt(
      aContext.now, aContext.usualServiceTime);
    factor = std::max(1.0, choice.slowdownPercent / 100.0);
  }
  if (busy + 1 > slots * kNearlyFull) {
    factor *= kNearlyFullFactor;
  }
  const double queued = std::max(0.0, busy + 1 - slots);
  penalty += queued * work * factor / slots;
  penalty += kFailureSeconds * aCandidate.local->FailureShare(aContext.now);
  // Without reports, all requests of this host would go to the targets that it
  // is connected to.
  penalty += aCandidate.connected || unreported ? 0 : kConnectSeconds;
  if (!aCandidate.target->local) {
    penalty += kZoneSeconds + kZoneSecondsPerByte *
                                static_cast<double>(aContext.bytes.value());
  }
  penalty += (unreported ? kUnreportedOccupancyPrice : kOccupancyPrice) * work *
             std::min(1.0, busy / slots);
  const double speed = warm ? 1 : kColdFactor;
  choice.expected =
    std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      std::min(work * factor * speed + penalty, kMaxExpectedSeconds)));
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
