#ifndef BALANCE_TARGETCHOOSER_H
#define BALANCE_TARGETCHOOSER_H

#include "balance/Candidate.h"
#include "balance/Choice.h"
#include "balance/ChoiceContext.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace lacewing {

/** Chooses the target of a request; a strategy without state of its own. */
class TargetChooser
{
public:
  virtual ~TargetChooser() = default;

  /** Empty when no candidate may get the request now. */
  virtual std::optional<Choice> Choose(
    const ChoiceContext& aContext,
    const std::vector<Candidate>& aCandidates) = 0;
};

/**
 * Takes the target with the earliest expected answer, at random among those
 * that are about as early. aSeed makes choices repeatable.
 */
std::unique_ptr<TargetChooser> MakeEarliestAnswerChooser(std::uint64_t aSeed);

/** Whether a target has been confirmed to bear its normal share. */
bool IsWarm(const Candidate& aCandidate, TimePoint aNow);

} // namespace lacewing

#endif // BALANCE_TARGETCHOOSER_H
