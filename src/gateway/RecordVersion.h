#ifndef GATEWAY_RECORDVERSION_H
#define GATEWAY_RECORDVERSION_H

#include "balance/TargetLoad.h"
#include "catalog/RouteSpec.h"
#include "gateway/Attempt.h"
#include "gateway/TrafficState.h"
#include "rollout/AttemptEnd.h"

#include <optional>

namespace lacewing {

/** Counts an attempt that is being sent, and notes what its target reported. */
void RecordSent(TrafficState& aState, Attempt& aAttempt);

/**
 * Counts what the end of an attempt says about the version of its target.
 * aLoad is what the response reported.
 */
void RecordVersion(TrafficState& aState,
                   const RouteSpec& aRoute,
                   const Attempt& aAttempt,
                   AttemptEnd aEnd,
                   const std::optional<TargetLoad>& aLoad);

} // namespace lacewing

#endif // GATEWAY_RECORDVERSION_H
