#ifndef LOAD_LOADEXPERIMENT_H
#define LOAD_LOADEXPERIMENT_H

#include "lacewing/Outcome.h"
#include "load/EntryAddress.h"
#include "load/LoadPhase.h"
#include "load/LoadSettings.h"
#include "load/RequestKind.h"
#include "load/TimelineEvent.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <vector>

namespace lacewing {

/** What the load tool does; not changed once made. */
struct LoadExperiment
{
  LoadSettings settings;
  std::vector<EntryAddress> entries;
  std::vector<LoadPhase> phases;
  std::vector<RequestKind> kinds;
  std::vector<TimelineEvent> timeline;

  /**
   * Reads the arrays "entry", "phase", "request" and "timeline" of objects;
   * every other member is a setting.
   */
  static Outcome<std::shared_ptr<const LoadExperiment>> Make(
    nlohmann::json aJson);

  /** Length of all phases together. */
  Duration Length() const;

  std::size_t SliceCount() const;

  /** The slice of a request intended at aOffset from the start. */
  std::size_t SliceOf(Duration aOffset) const;
};

} // namespace lacewing

#endif // LOAD_LOADEXPERIMENT_H
