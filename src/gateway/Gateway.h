#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H

#include "balance/FleetSnapshot.h"
#include "balance/LoadSnapshot.h"
#include "core/SnapshotCell.h"
#include "gateway/GatewayActivity.h"
#include "gateway/GatewayCounters.h"
#include "gateway/GatewayOptions.h"
#include "lacewing/Clock.h"
#include "lacewing/Outcome.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace lacewing {

/** A host's traffic thread: takes callers' requests and forwards them. */
class Gateway
{
public:
  /** Listens at once; fails when the address cannot be bound. */
  static Outcome<std::unique_ptr<Gateway>> Make(
    const Clock& aClock,
    const GatewayOptions& aOptions,
    const SnapshotCell<FleetSnapshot>& aFleet,
    const SnapshotCell<LoadSnapshot>& aLoad);

  /** Ends the thread; requests in progress are cut off. */
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /** The port listened on. */
  std::uint16_t Port() const;

  /**
   * Answers close their connections from now on, and requests that could last
   * beyond aEnd are refused.
   */
  void BeginDrain(TimePoint aEnd);

  void SetRepeatTerms(const RetryLimits& aTerms);

  /** Closes connections without a request. */
  void CloseIdle();

  /** Reads the activity; runs aHandler on the traffic thread. */
  void ReadActivity(std::function<void(GatewayActivity)> aHandler);

  /** Copies the counters; runs aHandler on the traffic thread. */
  void ReadCounters(std::function<void(GatewayCounters)> aHandler);

private:
  struct Impl;
  explicit Gateway(std::unique_ptr<Impl> aImpl);

  std::unique_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // GATEWAY_GATEWAY_H
