#ifndef BALANCE_TARGETCHOOSER_H
#define BALANCE_TARGETCHOOSER_H

#include "balance/Candidate.h"
#include "balance/Choice.h"
#include "balance/ChoiceContext.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace lacewing {

/** Ranks the targets that a request may be sent to. */
class TargetChooser
{
public:
  virtual ~TargetChooser() = default;

  /**
   * Returns the candidates that may get the request or have to be probed
   * before, the best one first. Candidates that are about equally good are in
   * random order.
   */
  virtual std::vector<Choice> Rank(
    const ChoiceContext& aContext,
    const std::vector<Candidate>& aCandidates) = 0;

  /** Estimates a single candidate; Choice::index of the result is not set. */
  virtual Choice Judge(const ChoiceContext& aContext,
                       const Candidate& aCandidate) const = 0;
};

/**
 * Creates a chooser that ranks targets by the expected time until the response.
 * aSeed seeds the random order, so that tests can reproduce it.
 */
std::unique_ptr<TargetChooser> MakeEarliestResponseChooser(std::uint64_t aSeed);

} // namespace lacewing

#endif // BALANCE_TARGETCHOOSER_H
