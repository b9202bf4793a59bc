#ifndef GATEWAY_ATTEMPTLEARNING_H
#define GATEWAY_ATTEMPTLEARNING_H

#include "balance/AttemptResult.h"
#include "catalog/RouteSpec.h"
#include "gateway/Attempt.h"
#include "gateway/TrafficState.h"
#include "http/ExchangeResult.h"

namespace lacewing {

/** Takes a sending's end into what is known of its target and route. */
void LearnFrom(TrafficState& aState,
               const RouteSpec& aRoute,
               const Attempt& aAttempt,
               AttemptResult aEnd,
               const ExchangeResult& aResult);

} // namespace lacewing

#endif // GATEWAY_ATTEMPTLEARNING_H
