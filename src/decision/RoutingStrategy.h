#ifndef DECISION_ROUTINGSTRATEGY_H
#define DECISION_ROUTINGSTRATEGY_H

#include "decision/RoutingContext.h"
#include "lacewing/Outcome.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lacewing {

/** Chooses the target of each request of one service. */
class RoutingStrategy
{
public:
  virtual ~RoutingStrategy() = default;

  /** Index of the target; empty when the request should wait here. */
  virtual std::optional<std::size_t> Pick(const RoutingContext& aContext) = 0;
};

/** Fails with kInvalidArgument when there is no such strategy. */
Outcome<std::unique_ptr<RoutingStrategy>> MakeRoutingStrategy(
  const std::string& aName);

/** The names that MakeRoutingStrategy knows. */
std::vector<std::string> RoutingStrategyNames();

} // namespace lacewing

#endif // DECISION_ROUTINGSTRATEGY_H
