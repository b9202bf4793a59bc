#ifndef ENTRY_TRAFFICWORKER_H
#define ENTRY_TRAFFICWORKER_H

#include "decision/HeldGrant.h"
#include "decision/RoutingSnapshot.h"
#include "entry/WorkerOptions.h"
#include "entry/WorkerReport.h"
#include "lacewing/Outcome.h"

#include <functional>
#include <memory>
#include <vector>

namespace lacewing {

/**
 * One traffic thread with its own sockets, engine and memory budget. Every
 * member may be called from any thread: it posts a message to the worker.
 */
class TrafficWorker
{
public:
  using ReportHandler = std::function<void(WorkerReport)>;

  /**
   * Listens at once and starts the thread. aReport is called on the worker's
   * thread every 100 ms.
   */
  static Outcome<std::unique_ptr<TrafficWorker>> Make(
    const Clock& aClock,
    const WorkerOptions& aOptions,
    ReportHandler aReport);

  /** Ends the thread; open requests are cut off. */
  ~TrafficWorker();
  TrafficWorker(const TrafficWorker&) = delete;
  TrafficWorker& operator=(const TrafficWorker&) = delete;

  /** The port listened on. */
  std::uint16_t Port() const;

  void PostSnapshot(std::shared_ptr<const RoutingSnapshot> aSnapshot);
  void PostGrants(GrantRound aRound, std::vector<HeldGrant> aGrants);
  /** Asks callers to leave their connections. */
  void PostDrain();
  /** Stops listening and refuses new requests. */
  void PostStop();

private:
  struct Impl;
  explicit TrafficWorker(std::unique_ptr<Impl> aImpl);

  std::unique_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // ENTRY_TRAFFICWORKER_H
