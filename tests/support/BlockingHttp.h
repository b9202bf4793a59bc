#ifndef TESTS_SUPPORT_BLOCKINGHTTP_H
#define TESTS_SUPPORT_BLOCKINGHTTP_H

#include "lacewing/Endpoint.h"
#include "net/HttpCall.h"
#include "net/HttpCallResult.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <string>

namespace lacewing {

/** Sends a call on a connection of its own and waits for its end. */
HttpCallResult RunCall(HttpCall aCall);

HttpCallResult Get(const Endpoint& aEndpoint, const std::string& aTarget);

HttpCallResult Send(const std::string& aMethod,
                    const Endpoint& aEndpoint,
                    const std::string& aTarget,
                    const std::string& aBody = {},
                    const HttpFields& aFields = {});

/** The answer's body as JSON; throws when there is no such answer. */
nlohmann::json GetJson(const Endpoint& aEndpoint, const std::string& aTarget);

/** Waits until a connection can be opened; false when aLimit passes. */
bool WaitUntilListening(
  const Endpoint& aEndpoint,
  std::chrono::milliseconds aLimit = std::chrono::seconds(10));

} // namespace lacewing

#endif // TESTS_SUPPORT_BLOCKINGHTTP_H
