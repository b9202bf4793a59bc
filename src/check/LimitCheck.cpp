#include "check/LimitCheck.h"

#include "core/UnitText.h"

namespace lacewing {

void CheckLimits(const ConfigurationSpec& aSpec, Findings& aFindings)
{
  const CallerLimits& limits = aSpec.limits;
  if (limits.headTimeout > limits.idleTimeout) {
    aFindings.push_back(
      { FindingSeverity::kError,
        "limits",
        "the header timeout of " + FormatDuration(limits.headTimeout) +
          " is above the idle timeout of " + FormatDuration(limits.idleTimeout),
        "lower the header timeout or raise the idle timeout" });
  }
}

} // namespace lacewing
