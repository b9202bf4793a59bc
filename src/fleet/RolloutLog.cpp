#include "fleet/RolloutLog.h"

namespace lacewing {

void LogRollout(LogLevel aLevel,
                const OrderId& aOrder,
                const std::string& aIs,
                const std::vector<LogField>& aFields)
{
  std::vector<LogField> fields = { { "service", aOrder.service.value() },
                                   { "version", aOrder.version.value() },
                                   { "is", aIs } };
  fields.insert(fields.end(), aFields.begin(), aFields.end());
  LogFields(aLevel, "rollout", fields);
}

const char* ToString(RolloutState aState)
{
  switch (aState) {
    case RolloutState::kRunning:
      return "running";
    case RolloutState::kCompleted:
      return "completed";
    case RolloutState::kRolledBack:
      return "rolled-back";
    case RolloutState::kUnknown:
      break;
  }
  return "none";
}

const char* ToString(RolloutVerdict aVerdict)
{
  switch (aVerdict) {
    case RolloutVerdict::kTrial:
      return "trial";
    case RolloutVerdict::kProven:
      return "proven";
    case RolloutVerdict::kRejected:
      return "rejected";
    case RolloutVerdict::kAdopted:
      return "adopted";
  }
  return "unknown";
}

} // namespace lacewing
