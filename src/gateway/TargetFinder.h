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
 * Finds the target of one sending: asks the best candidates for their load
 * right before the choice, because load shifts within milliseconds and shared
 * readings are older than that. The connection that brought the winner's
 * answer then carries the request.
 */
class TargetScout
{
public:
  using Handler = std::function<void(std::optional<FoundTarget>)>;

  explicit TargetScout(TrafficState& aState);
  /** Drops a search; its handler is not called any more. */
  ~TargetScout();
  TargetScout(const TargetScout&) = delete;
  TargetScout& operator=(const TargetScout&) = delete;

  /**
   * Looks among the service's targets without aExcept. Calls aHandler later,
   * or returns false when there is none to ask.
   */
  bool Find(const ServiceId& aService,
            const ChoiceContext& aContext,
            const std::set<TargetId>& aExcept,
            Handler aHandler);

  bool Searching() const;

private:
  TrafficState& state_;
  std::shared_ptr<TargetSearch> search_;
};

} // namespace lacewing

#endif // GATEWAY_TARGETFINDER_H
