#ifndef GATEWAY_TARGETFINDER_H
#define GATEWAY_TARGETFINDER_H

#include "balance/ChoiceContext.h"
#include "gateway/FoundTarget.h"
#include "gateway/TrafficState.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace lacewing {

class TargetSearch;

/**
 * Finds the target of an attempt. Probes the best candidates for their load
 * right before the choice, because load changes within milliseconds and the
 * shared readings are older than that. The request is then sent on the
 * connection on which the chosen target answered its probe.
 */
class TargetFinder
{
public:
  using Handler = std::function<void(std::optional<FoundTarget>)>;

  explicit TargetFinder(TrafficState& aState);
  /** Cancels a search in progress; its handler is not called any more. */
  ~TargetFinder();
  TargetFinder(const TargetFinder&) = delete;
  TargetFinder& operator=(const TargetFinder&) = delete;

  /**
   * Searches the group's targets except those in aExcluded. Calls aHandler
   * when the search ends, or returns false when there is no target to probe.
   */
  bool Find(const ServiceId& aService,
            const ChoiceContext& aContext,
            const std::set<TargetId>& aExcluded,
            TargetGroup aGroup,
            Handler aHandler);

  bool Searching() const;

private:
  TrafficState& state_;
  std::shared_ptr<TargetSearch> search_;
};

} // namespace lacewing

#endif // GATEWAY_TARGETFINDER_H
