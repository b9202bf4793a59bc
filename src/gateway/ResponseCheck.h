#ifndef GATEWAY_RESPONSECHECK_H
#define GATEWAY_RESPONSECHECK_H

#include "balance/AttemptResult.h"
#include "gateway/HeaderNames.h"
#include "http/AnswerMatch.h"
#include "http/ExchangeResult.h"

#include <string>

namespace lacewing {

/**
 * How a response head relates to the request with id aId. The id decides. A
 * response without one is assigned by its position if it has an error status
 * (400 and above), as when a target refuses a request before reading it, or if
 * the request has no id either.
 */
AnswerMatch MatchResponse(const HttpHead& aResponse,
                          const HeaderNames& aNames,
                          const std::string& aId);

/**
 * Classifies the end of an exchange with a target. A response that may belong
 * to another request states nothing about this one.
 */
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
