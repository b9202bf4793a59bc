#ifndef DECISION_PICKRANDOM_H
#define DECISION_PICKRANDOM_H

#include "decision/RoutingContext.h"

#include <cstddef>
#include <optional>

namespace lacewing {

/**
 * A random target that allows a request; empty when none does. aExcept is
 * left out while another one allows it.
 */
std::optional<std::size_t> PickRandom(
  const RoutingContext& aContext,
  std::optional<std::size_t> aExcept = std::nullopt);

} // namespace lacewing

#endif // DECISION_PICKRANDOM_H
