#ifndef GATEWAY_HEADERNAMES_H
#define GATEWAY_HEADERNAMES_H

#include "balance/TargetLoad.h"

#include <optional>
#include <string>
#include <string_view>

namespace lacewing {

/** Names of the header fields that a front end's callers and targets use. */
struct HeaderNames
{
  /** The id of a caller's request; targets repeat it in their responses. */
  std::string requestId;
  /** Milliseconds until the sender stops waiting for the response. */
  std::string deadline;
  /** The id of the only target that may run the request. */
  std::string expectedTarget;
  /** A target's signature of its response. */
  std::string signature;
  /** Present when the target did not run the request. */
  std::string notRun;
  /** The target's load, in the format that parseLoad reads. */
  std::string load;
  /** The id of the target that sent the response. */
  std::string targetId;
  /** Milliseconds until the target is no longer cold. */
  std::string coldLeft;
  /** The name of the customer for whom a target runs the request. */
  std::string customer;

  std::optional<TargetLoad> (*parseLoad)(std::string_view) = nullptr;
};

} // namespace lacewing

#endif // GATEWAY_HEADERNAMES_H
