#ifndef GATEWAY_RESPONSECHECK_H
#define GATEWAY_RESPONSECHECK_H

#include "balance/AttemptResult.h"
#include "gateway/HeaderNames.h"
#include "http/ExchangeResult.h"

#include <string>

namespace lacewing {

/**
 * Whether a response head belongs to the request with id aId: it repeats the
 * id, or it has no id and an error status (400 and above), as when a target
 * refuses a request before reading it. A request without an id accepts any
 * response that has none either.
 */
bool BelongsToRequest(const HttpHead& aResponse,
                      const HeaderNames& aNames,
                      const std::string& aId);

/** Classifies the end of an exchange with a target. */
AttemptResult ClassifyAttempt(const ExchangeResult& aResult,
                              const HeaderNames& aNames);

/**
 * Whether a target's failure may be forwarded to the caller unchanged. Statuses
 * that imply "not run" (408, 421, 429, 503) may not, because the target did not
 * state that the request was not run.
 */
bool MayForward(const HttpHead& aResponse);

} // namespace lacewing

#endif // GATEWAY_RESPONSECHECK_H
