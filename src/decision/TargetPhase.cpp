#include "decision/TargetPhase.h"

namespace lacewing {

const char* ToString(TargetPhase aPhase)
{
  switch (aPhase) {
    case TargetPhase::kCold:
      return "cold";
    case TargetPhase::kRamping:
      return "ramping";
    case TargetPhase::kWarm:
      return "warm";
  }
  return "cold";
}

} // namespace lacewing
