#ifndef CONFIG_LIFECYCLE_H
#define CONFIG_LIFECYCLE_H

#include "lacewing/Outcome.h"

#include <string>

namespace lacewing {

/** Where a zone, host or target stands between joining and removal. */
enum class Lifecycle
{
  /** Takes work, growing gradually from a small share. */
  kJoining,
  kInService,
  /** Takes no new work; work in progress finishes. */
  kLeaving,
  /** Takes no work. */
  kOut,
};

/** "joining", "in-service", "leaving" or "out". */
const char* ToString(Lifecycle aLifecycle);
Outcome<Lifecycle> ParseLifecycle(const std::string& aText);

/** Whether new work may go to something in this state. */
constexpr bool TakesNewWork(Lifecycle aLifecycle)
{
  return aLifecycle == Lifecycle::kJoining ||
         aLifecycle == Lifecycle::kInService;
}

} // namespace lacewing

#endif // CONFIG_LIFECYCLE_H
