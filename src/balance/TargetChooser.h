#ifndef BALANCE_TARGETCHOOSER_H
#define BALANCE_TARGETCHOOSER_H

#include "balance/Candidate.h"
#include "balance/Choice.h"
#include "balance/ChoiceContext.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace lacewing {

/** Judges the targets that a request may go to. */
class TargetChooser
{
public:
  virtual ~TargetChooser() = default;

  /**
   * The candidates that may get the request or need a probe, the best first;
   * those that are about as good are in random order.
   */
  virtual std::vector<Choice> Rank(
    const ChoiceContext& aContext,
    const std::vector<Candidate>& aCandidates) = 0;

  /** One candidate by what is known of it now. */
  virtual Choice Judge(const ChoiceContext& aContext,
                       const Candidate& aCandidate) const = 0;
};

/**
 * Ranks by the expected time of the answer. aSeed makes choices repeatable.
 */
std::unique_ptr<TargetChooser> MakeEarliestResponseChooser(std::uint64_t aSeed);

} // namespace lacewing

#endif // BALANCE_TARGETCHOOSER_H
