#ifndef ROLLOUT_DIRECTIVETABLE_H
#define ROLLOUT_DIRECTIVETABLE_H

#include "lacewing/Clock.h"
#include "rollout/OrderId.h"
#include "rollout/RolloutDirective.h"
#include "rollout/RolloutOrder.h"

#include <map>
#include <optional>
#include <vector>

namespace lacewing {

/**
 * A host's newest directive of each order. The result of merging directives
 * does not depend on the order in which they arrive (TakesPrecedence); a
 * rejection never leaves.
 */
class DirectiveTable
{
public:
  /**
   * Merges a directive that the host received or decided. Returns whether what
   * the host does changes, so that the directive must be passed on at once.
   * A directive with an unknown verdict or a share above 10,000 is refused.
   */
  bool Merge(TimePoint aNow, const RolloutDirective& aDirective);

  /**
   * The newest directive of an order, with its age and elapsed time at aNow,
   * whether or not it has expired. Empty if none is known.
   */
  std::optional<RolloutDirective> Find(TimePoint aNow,
                                       const OrderId& aOrder) const;

  /**
   * What the host does about an order: a terminal status that the store shows
   * replaces any directive; a trial that was not confirmed for kDirectiveTtl,
   * or of which no directive is known, has share 0.
   */
  RolloutDirective InForce(TimePoint aNow, const RolloutOrder& aOrder) const;

  /** When the trial's directive expires unless it is confirmed. */
  TimePoint ValidUntil(const OrderId& aOrder) const;

  /** All directives, for a message to another host. */
  std::vector<RolloutDirective> All(TimePoint aNow) const;

  /** Forgets the directives of all orders but these. */
  void Retain(const std::vector<OrderId>& aOrders);

private:
  struct Entry
  {
    RolloutDirective directive;
    TimePoint confirmedAt;
    TimePoint startedAt;
  };

  std::map<OrderId, Entry> entries_;
};

/**
 * A trial's directive that was not confirmed for this time has expired: its
 * deciding host is gone or cut off.
 */
constexpr Duration kDirectiveTtl = std::chrono::seconds(2);

} // namespace lacewing

#endif // ROLLOUT_DIRECTIVETABLE_H
