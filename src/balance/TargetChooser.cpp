#include "balance/TargetChooser.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace lacewing {

namespace {

// A reading is repeated several times a second; two seconds without one mean
// that its owner, or this host, was cut off or paused.
constexpr Duration kReadingFresh = std::chrono::seconds(2);
// The span over which neighbours' load on a target's machine changes.
constexpr double kSlowdownMemorySeconds = 0.3;
// Share of a slowdown that is expected to stay for the whole request.
constexpr double kSlowdownKept = 0.6;
// Targets work slower when nearly full.
constexpr double kNearlyFull = 0.8;
constexpr double kNearlyFullFactor = 1.7;
// A target that refuses or is silent is tried only when others are worse.
constexpr double kRefusingSeconds = 1.5;
constexpr double kSilentSeconds = 4;
// A failure costs the caller about the time of a second attempt and more.
constexpr double kFailureSeconds = 2.5;
// A new connection takes a round trip and some work of the target.
constexpr double kConnectSeconds = 0.004;
// Bytes between zones are priced: about 2.5 ms of a caller's time a kilobyte.
constexpr double kZoneSeconds = 0.006;
constexpr double kZoneSecondsPerByte = 2.5e-6;
// Expected answers within this share of the earliest count as equal, so that
// hosts with the same picture do not all choose the same target.
constexpr double kAlike = 0.12;

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

bool MayGet(const Candidate& aCandidate, TimePoint aNow, bool aWarm)
{
  if (aWarm) {
    return true;
  }
  const unsigned quota = aCandidate.target->coldQuota;
  return quota > 0 && aCandidate.local->SentSince(
                        aNow - std::chrono::milliseconds(1050)) < quota;
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
  const double kept = kSlowdownKept * std::exp(-aAge / kSlowdownMemorySeconds);
  return std::max(1 + (slowdown - 1) * kept, 0.2);
}

Choice Estimate(const ChoiceContext& aContext,
                const Candidate& aCandidate,
                bool aWarm)
{
  const auto reading = aCandidate.local->Newest(aCandidate.reading);
  const double slots =
    std::max<double>(1, aCandidate.target->spec.slots.value());
  const double work = Seconds(aContext.usualWork);
  Choice choice;
  choice.cold = !aWarm;
  double factor = 1;
  choice.busy = aCandidate.local->InFlight();
  double penalty = 0;
  if (reading) {
    choice.readingAge = aContext.now - reading->measuredAt;
    choice.busy = BusyAt(aCandidate, *reading);
    choice.slowdownPercent = reading->load.slowdownPercent;
    factor = SlowdownFactor(reading->load, Seconds(choice.readingAge));
    penalty += reading->state == ReadingState::kRefusing ? kRefusingSeconds : 0;
    penalty += reading->state == ReadingState::kSilent ? kSilentSeconds : 0;
  }
  const double busy = choice.busy;
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
  // A cold target works at about half its speed.
  const double speed = aWarm ? 1 : 2;
  choice.expected = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(work * factor * speed + penalty));
  return choice;
}

class EarliestAnswerChooser final : public TargetChooser
{
public:
  explicit EarliestAnswerChooser(std::uint64_t aSeed)
    : random_(aSeed)
  {
  }

  std::optional<Choice> Choose(
    const ChoiceContext& aContext,
    const std::vector<Candidate>& aCandidates) override
  {
    choices_.clear();
    for (std::size_t i = 0; i < aCandidates.size(); ++i) {
      const bool warm = IsWarm(aCandidates[i], aContext.now);
      if (MayGet(aCandidates[i], aContext.now, warm)) {
        choices_.push_back(Estimate(aContext, aCandidates[i], warm));
        choices_.back().index = i;
      }
    }
    if (choices_.empty()) {
      return std::nullopt;
    }
    const auto earliest =
      std::min_element(choices_.begin(),
                       choices_.end(),
                       [](const Choice& aLeft, const Choice& aRight) {
                         return aLeft.expected < aRight.expected;
                       });
    const double most = Seconds(earliest->expected) * (1 + kAlike);
    alike_.clear();
    for (const Choice& choice : choices_) {
      if (Seconds(choice.expected) <= most) {
        alike_.push_back(&choice);
      }
    }
    std::uniform_int_distribution<std::size_t> pick(0, alike_.size() - 1);
    return *alike_[pick(random_)];
  }

private:
  std::minstd_rand random_;
  std::vector<Choice> choices_;
  std::vector<const Choice*> alike_;
};

} // namespace

bool IsWarm(const Candidate& aCandidate, TimePoint aNow)
{
  const LoadReading* reading = aCandidate.reading;
  return reading != nullptr && reading->measuredAt + kReadingFresh > aNow &&
         reading->measuredAt > aCandidate.local->TroubleAt() &&
         reading->state != ReadingState::kSilent &&
         reading->coldLeft <= Duration(0);
}

std::unique_ptr<TargetChooser> MakeEarliestAnswerChooser(std::uint64_t aSeed)
{
  return std::make_unique<EarliestAnswerChooser>(aSeed);
}

} // namespace lacewing
