#include "fleet/StepDelay.h"

#include "core/Log.h"

#include <algorithm>
#include <string>

namespace lacewing {

namespace {

// A host at its processor's limit runs a step some tens of milliseconds late.
constexpr Duration kLate = std::chrono::milliseconds(300);

} // namespace

void StepDelay::OnStep(TimePoint aNow, Duration aPeriod)
{
  if (due_) {
    const Duration delay = std::max(aNow - *due_, Duration(0));
    delays_.Add(delay);
    if (delay >= kLate) {
      Log(LogLevel::kWarning,
          "control-step-late",
          { { "ms",
              std::to_string(
                std::chrono::duration_cast<std::chrono::milliseconds>(delay)
                  .count()) } });
    }
  }
  due_ = aNow + aPeriod;
}

void StepDelay::AddMetrics(MetricsPage& aPage) const
{
  aPage.AddHistogram("lacewing_control_step_delay_seconds",
                     "How late the control thread ran its periodic step.",
                     {},
                     delays_);
}

} // namespace lacewing
