#ifndef GATEWAY_HEADERNAMES_H
#define GATEWAY_HEADERNAMES_H

#include "balance/TargetLoad.h"

#include <optional>
#include <string>
#include <string_view>

namespace lacewing {

/** The header fields that a front end's callers and targets use. */
struct HeaderNames
{
  /** Identifies a caller's request; targets repeat it in their answers. */
  std::string requestId;
  /** Milliseconds that the sender still waits. */
  std::string deadline;
  /** Names the only target that may run the request. */
  std::string expectedTarget;
  /** A target's proof of its answer. */
  std::string signature;
  /** Present when the target has not run the request. */
  std::string notRun;
  /** The target's load; read by parseLoad. */
  std::string load;
  /** The id of the answering target. */
  std::string targetId;
  /** Milliseconds for which the target stays cold. */
  std::string coldLeft;

  std::optional<TargetLoad> (*parseLoad)(std::string_view) = nullptr;
};

} // namespace lacewing

#endif // GATEWAY_HEADERNAMES_H
