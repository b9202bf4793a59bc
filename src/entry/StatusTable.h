#ifndef ENTRY_STATUSTABLE_H
#define ENTRY_STATUSTABLE_H

#include "decision/FinishReason.h"
#include "entry/RefusalReason.h"
#include "entry/StatusRow.h"

namespace lacewing {

/**
 * The status table of design section 5.1, the same in every front end. The
 * row of kAnswered does not apply: the target's own status does.
 */
StatusRow StatusOf(FinishReason aReason);
StatusRow StatusOf(RefusalReason aReason);

} // namespace lacewing

#endif // ENTRY_STATUSTABLE_H
