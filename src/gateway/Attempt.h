#ifndef GATEWAY_ATTEMPT_H
#define GATEWAY_ATTEMPT_H

#include "balance/Choice.h"
#include "catalog/TargetSpec.h"
#include "http/HttpConnection.h"
#include "lacewing/AttemptId.h"
#include "quota/AllowanceToken.h"

#include <memory>
#include <optional>

namespace lacewing {

/** One attempt of a request at a target, still in progress. */
struct Attempt
{
  AttemptId id;
  TargetSpec target;
  Choice choice;
  TimePoint sentAt;
  /** The token that it uses; empty for a request without a limit. */
  std::optional<AllowanceToken> allowance;
  std::unique_ptr<HttpConnection> connection;
  /**
   * The slowdown that the target reported before, in percent. Unlike that of
   * the choice, it has no part that this host's own requests have shown.
   */
  unsigned reportedSlowdown = 100;
};

} // namespace lacewing

#endif // GATEWAY_ATTEMPT_H
