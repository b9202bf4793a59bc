#ifndef GATEWAY_PROBEREADING_H
#define GATEWAY_PROBEREADING_H

#include "balance/LoadReading.h"
#include "gateway/HeaderNames.h"
#include "http/AnswerMatch.h"
#include "http/ExchangeResult.h"
#include "lacewing/Endpoint.h"

#include <optional>

namespace lacewing {

/** The reading from an ended probe; kUnresponsive when there was no response.
 */
LoadReading ReadProbe(const ExchangeResult& aResult,
                      const HeaderNames& aNames,
                      const TargetId& aTarget,
                      TimePoint aNow);

/** The load that the response reports; empty if it reports none. */
std::optional<TargetLoad> ReadLoad(const HttpHead& aResponse,
                                   const HeaderNames& aNames);

/** The head of a request that probes a target for its health and load. */
HttpHead ProbeHead(const std::string& aHealthPath, const Endpoint& aTarget);

/**
 * How a response relates to a probe. One with a request id or a signature is
 * foreign: it is a late response to a caller's request. A refused probe is
 * assigned by its position, because the refusal of a request may look the same.
 */
AnswerMatch MatchProbe(const HttpHead& aResponse, const HeaderNames& aNames);

} // namespace lacewing

#endif // GATEWAY_PROBEREADING_H
