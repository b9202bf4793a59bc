#ifndef TESTS_SUPPORT_PULLINGHOST_H
#define TESTS_SUPPORT_PULLINGHOST_H

#include "core/MonotonicClock.h"
#include "fleet/FleetControl.h"
#include "support/FreePorts.h"
#include "support/SilentSource.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <memory>

namespace lacewing {

class EmptyDecoder final : public CatalogDecoder
{
public:
  Outcome<std::shared_ptr<const RouteTable>> DecodeConfiguration(
    const std::string&) const override
  {
    return Fail(ErrorKind::kInvalidMessage, "no configuration", "none");
  }
  Outcome<TargetSpec> DecodeTarget(const std::string&,
                                   const std::string&) const override
  {
    return Fail(ErrorKind::kInvalidMessage, "no target", "none");
  }
};

inline bool IsDue(std::chrono::milliseconds aElapsed,
                  std::chrono::milliseconds aPeriod)
{
  return aElapsed.count() % aPeriod.count() == 0;
}

/** A host of zone "z" that learns of changes from its peers only. */
class PullingHost
{
public:
  PullingHost()
  {
    HostIdentity identity;
    identity.self = { HostId("self"), ZoneId("z"), "127.0.0.1", Port() };
    control_ = FleetControl::Make(context,
                                  clock,
                                  identity,
                                  FleetOptions(),
                                  decoder_,
                                  source_,
                                  fleet_,
                                  load_)
                 .value();
  }

  std::uint16_t Port() const { return ports_.Port(0); }

  SilentSource& Source() { return source_; }

  bool WatchesStore() const { return source_.role != WatchRole::kNone; }

  bool HasReached(Revision aRevision) const
  {
    return !source_.positions.empty() &&
           source_.positions[0].revision >= aRevision;
  }

  /**
   * Runs until aCondition holds, and calls aEachStep each 10 ms with the time
   * since the call. Returns that time, at most 4 s.
   */
  template<class Condition, class Step>
  std::chrono::milliseconds RunUntil(Condition aCondition, Step aEachStep)
  {
    std::chrono::milliseconds elapsed{ 0 };
    while (!aCondition() && elapsed < std::chrono::milliseconds(4000)) {
      aEachStep(elapsed);
      context.restart();
      context.run_for(std::chrono::milliseconds(10));
      elapsed += std::chrono::milliseconds(10);
    }
    return elapsed;
  }

  template<class Step>
  std::chrono::milliseconds RunUntilReached(Revision aRevision, Step aEachStep)
  {
    return RunUntil([&] { return HasReached(aRevision); }, aEachStep);
  }

  asio::io_context context;
  const MonotonicClock clock;

private:
  const FreePorts ports_{ 1 };
  const EmptyDecoder decoder_;
  SilentSource source_{ context };
  SnapshotCell<FleetSnapshot> fleet_{ std::make_shared<const FleetSnapshot>() };
  SnapshotCell<LoadSnapshot> load_{ std::make_shared<const LoadSnapshot>() };
  std::unique_ptr<FleetControl> control_;
};

} // namespace lacewing

#endif // TESTS_SUPPORT_PULLINGHOST_H
