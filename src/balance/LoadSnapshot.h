#ifndef BALANCE_LOADSNAPSHOT_H
#define BALANCE_LOADSNAPSHOT_H

#include "balance/LoadReading.h"

#include <memory>
#include <unordered_map>

namespace lacewing {

struct SpillPlan;

/**
 * The newest reading of each target, and what follows from the zones' loads;
 * immutable once published.
 */
struct LoadSnapshot
{
  std::unordered_map<TargetId, LoadReading> readings;
  /** Null unless zones exchange their loads. */
  std::shared_ptr<const SpillPlan> spill;

  /** Returns null if there is no reading of the target. */
  const LoadReading* Find(const TargetId& aTarget) const
  {
    const auto found = readings.find(aTarget);
    return found == readings.end() ? nullptr : &found->second;
  }
};

} // namespace lacewing

#endif // BALANCE_LOADSNAPSHOT_H
