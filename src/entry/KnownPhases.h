#ifndef ENTRY_KNOWNPHASES_H
#define ENTRY_KNOWNPHASES_H

#include "entry/TargetStatus.h"
#include "lacewing/TargetId.h"

#include <set>
#include <unordered_map>

namespace lacewing {

/**
 * Phases of targets as controld tells them. A target that nothing is known
 * of is cold, or has the phase given at construction.
 */
class KnownPhases
{
public:
  explicit KnownPhases(TargetPhase aUnknown = TargetPhase::kCold)
    : unknown_(aUnknown)
  {
  }

  /**
   * The higher epoch wins, and within an epoch the later phase. Returns
   * whether something changed.
   */
  bool Merge(const TargetId& aTarget, const TargetStatus& aStatus);

  TargetStatus Find(const TargetId& aTarget) const;

  const std::unordered_map<TargetId, TargetStatus>& All() const
  {
    return phases_;
  }

  /** Forgets the targets that are not in aKept. */
  void Keep(const std::set<TargetId>& aKept);

private:
  TargetPhase unknown_;
  std::unordered_map<TargetId, TargetStatus> phases_;
};

} // namespace lacewing

#endif // ENTRY_KNOWNPHASES_H
