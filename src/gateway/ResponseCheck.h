#ifndef GATEWAY_RESPONSECHECK_H
#define GATEWAY_RESPONSECHECK_H

#include "balance/AttemptEnd.h"
#include "gateway/HeaderNames.h"
#include "http/ExchangeResult.h"

#include <string>

namespace lacewing {

/**
 * Whether an answer's head belongs to the request aId: it repeats the id, or
 * has none and is no success, as refusals before a request is read.
 */
bool BelongsTo(const HttpHead& aAnswer,
               const HeaderNames& aNames,
               const std::string& aId);

/** What an exchange with a target came to. */
AttemptEnd Classify(const ExchangeResult& aResult, const HeaderNames& aNames);

/**
 * Whether a target's failure may be passed on as it is. Statuses that promise
 * "not run" may not, when the target does not say so.
 */
bool MayPassOn(const HttpHead& aAnswer);

} // namespace lacewing

#endif // GATEWAY_RESPONSECHECK_H
