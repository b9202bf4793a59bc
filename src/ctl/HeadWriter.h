#ifndef CTL_HEADWRITER_H
#define CTL_HEADWRITER_H

#include "config/ConfigHead.h"
#include "ctl/CtlEnvironment.h"
#include "lacewing/Outcome.h"

#include <functional>

namespace lacewing {

/** A head that is to replace another one. */
struct HeadWrite
{
  ConfigHead base;
  /** Tag of the base; none if there is no head yet. */
  std::optional<ObjectTag> baseTag;
  /** Carries the writer's own token. */
  ConfigHead next;
};

/**
 * Writes the head on the condition that the base is still current, and
 * settles a lost answer by looking for the own token in the head (design,
 * section 4.1). Fails with kConflict, naming what another writer changed;
 * with kTimeout when the result stays unknown at the deadline; or with the
 * store's error when the write had no effect.
 */
void WriteHead(const CtlEnvironment& aEnvironment,
               ObjectStore& aStore,
               HeadWrite aWrite,
               TimePoint aDeadline,
               std::function<void(Outcome<void>)> aHandler);

} // namespace lacewing

#endif // CTL_HEADWRITER_H
