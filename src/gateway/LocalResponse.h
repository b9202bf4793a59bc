#ifndef GATEWAY_LOCALRESPONSE_H
#define GATEWAY_LOCALRESPONSE_H

#include "http/HttpMessage.h"
#include "lacewing/Clock.h"

#include <optional>
#include <string>

namespace lacewing {

/** Why a host answers a request itself. */
enum class OwnAnswerKind
{
  /** 400 */
  kMalformed,
  /** 413 */
  kBodyTooLarge,
  /** 431 */
  kHeadTooLarge,
  /** 404 */
  kNoRoute,
  /** 503: not run; the caller may come back. */
  kRefused,
  /** 502: the request may have run. */
  kOutcomeUnknown,
  /** 504: the time is up; the request may have run. */
  kTimedOut,
};

/**
 * An answer without a target's part. aIdField and aId repeat the request's id
 * when it has one; aRetryAfter tells when to come back.
 */
HttpMessage MakeOwnAnswer(OwnAnswerKind aKind,
                          const std::string& aIdField = {},
                          const std::string& aId = {},
                          std::optional<Duration> aRetryAfter = std::nullopt);

} // namespace lacewing

#endif // GATEWAY_LOCALRESPONSE_H
