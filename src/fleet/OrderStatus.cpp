#include "fleet/OrderStatus.h"

#include "fleet/RolloutLog.h"

namespace lacewing {

namespace {

StatusWriter WriterOf(WatchRole aRole)
{
  switch (aRole) {
    case WatchRole::kPrimary:
      return StatusWriter::kPrimary;
    case WatchRole::kStandby:
      return StatusWriter::kStandby;
    case WatchRole::kNone:
      break;
  }
  return StatusWriter::kNone;
}

} // namespace

OrderStatus::OrderStatus(const Clock& aClock, CatalogSource& aSource)
  : clock_(aClock)
  , source_(aSource)
  , duty_(std::make_shared<RolloutStatusDuty>())
{
}

void OrderStatus::Update(WatchRole aRole,
                         const RolloutOrder& aOrder,
                         const DirectiveTable& aDirectives)
{
  const TimePoint now = clock_.Now();
  const auto due =
    duty_->Due(now, WriterOf(aRole), aOrder, aDirectives.Find(now, aOrder.id));
  if (!due) {
    return;
  }
  duty_->OnWriteBegun();
  source_.WriteRolloutStatus(
    aOrder,
    due->state,
    [duty = duty_, &clock = clock_, id = aOrder.id, state = due->state](
      const Outcome<void>& aResult) {
      duty->OnWriteEnded(clock.Now());
      LogRollout(aResult ? LogLevel::kInfo : LogLevel::kWarning,
                 id,
                 aResult ? "status written" : "status not confirmed",
                 { { "status", ToString(state) },
                   { "error", aResult ? "" : aResult.error().ToString() } });
    });
}

} // namespace lacewing
