#ifndef FLEET_ROLLOUTLOG_H
#define FLEET_ROLLOUTLOG_H

#include "core/Log.h"
#include "rollout/OrderId.h"
#include "rollout/RolloutState.h"
#include "rollout/RolloutVerdict.h"

#include <string>
#include <vector>

namespace lacewing {

/** Logs an event of the rollout that aOrder asks for; aIs says what happened.
 */
void LogRollout(LogLevel aLevel,
                const OrderId& aOrder,
                const std::string& aIs,
                const std::vector<LogField>& aFields = {});

const char* ToString(RolloutState aState);
const char* ToString(RolloutVerdict aVerdict);

} // namespace lacewing

#endif // FLEET_ROLLOUTLOG_H
