#ifndef GATEWAY_PROBEREADING_H
#define GATEWAY_PROBEREADING_H

#include "balance/LoadReading.h"
#include "gateway/HeaderNames.h"
#include "http/ExchangeResult.h"
#include "lacewing/Endpoint.h"

namespace lacewing {

/** What a probe's end says of the target; kUnresponsive when it was not
 * answered. */
LoadReading ReadProbe(const ExchangeResult& aResult,
                      const HeaderNames& aNames,
                      const TargetId& aTarget,
                      TimePoint aNow);

/** The request that asks a target for its health and load. */
HttpHead ProbeHead(const std::string& aHealthPath, const Endpoint& aTarget);

/**
 * Whether an answer may belong to a probe: it names no request and has no
 * signature, as a late answer to a request would.
 */
bool BelongsToProbe(const HttpHead& aAnswer, const HeaderNames& aNames);

} // namespace lacewing

#endif // GATEWAY_PROBEREADING_H
