#ifndef ENTRY_ENTRYSTATE_H
#define ENTRY_ENTRYSTATE_H

#include "decision/RoutingSnapshot.h"
#include "entry/WorkerReport.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace lacewing {

/** What the control thread knows, for the admin pages. */
struct EntryState
{
  /** Null before the first configuration. */
  std::shared_ptr<const RoutingSnapshot> snapshot;
  bool stopping = false;
  bool controldConnected = false;
  /** Frames from controld that were refused, and of unknown kinds. */
  std::uint64_t badFrames = 0;
  std::uint64_t unknownFrames = 0;
  /** Slots held as grants, for targets that are not warm. */
  std::map<TargetId, SlotCount> granted;
  /** The last report of each worker, by WorkerId. */
  std::vector<WorkerReport> reports;

  bool Ready() const { return snapshot != nullptr && !stopping; }
};

} // namespace lacewing

#endif // ENTRY_ENTRYSTATE_H
