#ifndef GATEWAY_LOCALRESPONSE_H
#define GATEWAY_LOCALRESPONSE_H

#include "http/HttpMessage.h"
#include "lacewing/Clock.h"

#include <optional>
#include <string>

namespace lacewing {

/** Why a host responds to a request itself, with which HTTP status. */
enum class LocalResponseKind
{
  /** 400 */
  kMalformed,
  /** 413 */
  kBodyTooLarge,
  /** 431 */
  kHeadTooLarge,
  /** 404 */
  kNoRoute,
  /** 401: not run; the caller must not retry with the same key. */
  kUnknownKey,
  /** 429: not run; the customer is over its limit. */
  kOverLimit,
  /** 503: not run; the caller may retry. */
  kRefused,
  /** 502: the request may have run. */
  kOutcomeUnknown,
  /** 504: the deadline has passed; the request may have run. */
  kTimedOut,
};

/**
 * Makes a response that the host sends itself. If aId, the request's id, is not
 * empty, it is set in the header field aIdField. aRetryAfter is the time after
 * which the caller should retry.
 */
HttpMessage MakeLocalResponse(
  LocalResponseKind aKind,
  const std::string& aIdField = {},
  const std::string& aId = {},
  std::optional<Duration> aRetryAfter = std::nullopt);

} // namespace lacewing

#endif // GATEWAY_LOCALRESPONSE_H
