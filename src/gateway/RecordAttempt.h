#ifndef GATEWAY_RECORDATTEMPT_H
#define GATEWAY_RECORDATTEMPT_H

#include "balance/AttemptResult.h"
#include "catalog/RouteSpec.h"
#include "gateway/Attempt.h"
#include "gateway/TrafficState.h"
#include "http/ExchangeResult.h"

namespace lacewing {

/** Updates the statistics of the target and the route when an attempt ends. */
void RecordAttempt(TrafficState& aState,
                   const RouteSpec& aRoute,
                   const Attempt& aAttempt,
                   AttemptResult aEnd,
                   const ExchangeResult& aResult);

} // namespace lacewing

#endif // GATEWAY_RECORDATTEMPT_H
