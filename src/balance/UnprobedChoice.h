#ifndef BALANCE_UNPROBEDCHOICE_H
#define BALANCE_UNPROBEDCHOICE_H

#include "balance/Candidate.h"
#include "balance/ChoiceContext.h"
#include "balance/TargetChooser.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace lacewing {

/** The choice of a target when the budget for probes is empty. */
struct UnprobedChoice
{
  /** The best candidate, if its reading is recent enough to use it. */
  std::optional<std::size_t> use;
  /** The best candidate, if it should be probed although no probe is left. */
  std::optional<std::size_t> probe;
  /** The best candidate to use if that probe may not be sent. */
  std::optional<std::size_t> otherwise;
};

/**
 * Chooses among aRanked, the best first, by the last readings. Passes over
 * candidates that do not meet the context's quality by a recent reading.
 */
UnprobedChoice ChooseUnprobed(const TargetChooser& aChooser,
                              const ChoiceContext& aContext,
                              const std::vector<Candidate>& aRanked);

} // namespace lacewing

#endif // BALANCE_UNPROBEDCHOICE_H
