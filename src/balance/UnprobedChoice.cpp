#include "balance/UnprobedChoice.h"

#include "balance/Eligibility.h"
#include "balance/MeetsQuality.h"

namespace lacewing {

namespace {

// Load changes within milliseconds, but the owner's reading of the last probes
// tells more than none.
constexpr Duration kRecent = std::chrono::milliseconds(300);

struct Verdict
{
  bool recent = false;
  bool usable = false;
};

Verdict Assess(const TargetChooser& aChooser,
               const ChoiceContext& aContext,
               const Candidate& aCandidate)
{
  // Without an eligible target's health nothing is known of it.
  if (EligibilityOf(aCandidate, aContext.now) != Eligibility::kEligible) {
    return {};
  }
  const auto reading = aCandidate.local->NewestReading(aCandidate.reading);
  return { reading->measuredAt + kRecent > aContext.now,
           reading->state == ReadingState::kServing &&
             MeetsQuality(aContext.minQuality,
                          reading->state,
                          aChooser.Judge(aContext, aCandidate),
                          aCandidate.target->spec.slots) };
}

} // namespace

UnprobedChoice ChooseUnprobed(const TargetChooser& aChooser,
                              const ChoiceContext& aContext,
                              const std::vector<Candidate>& aRanked)
{
  UnprobedChoice choice;
  for (std::size_t i = 0; i < aRanked.size(); ++i) {
    const Verdict verdict = Assess(aChooser, aContext, aRanked[i]);
    if (verdict.recent && verdict.usable && !choice.probe) {
      choice.use = i;
      return choice;
    }
    if (!verdict.recent && !choice.probe) {
      choice.probe = i;
    }
    if (verdict.usable) {
      choice.otherwise = i;
      return choice;
    }
  }
  return choice;
}

} // namespace lacewing
