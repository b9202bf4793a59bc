#ifndef BALANCE_LOADSNAPSHOT_H
#define BALANCE_LOADSNAPSHOT_H

#include "balance/LoadReading.h"

#include <unordered_map>

namespace lacewing {

/** The newest reading of each target; never changes once published. */
struct LoadSnapshot
{
  std::unordered_map<TargetId, LoadReading> readings;

  /** Null when the target was never read. */
  const LoadReading* Find(const TargetId& aTarget) const
  {
    const auto found = readings.find(aTarget);
    return found == readings.end() ? nullptr : &found->second;
  }
};

} // namespace lacewing

#endif // BALANCE_LOADSNAPSHOT_H
