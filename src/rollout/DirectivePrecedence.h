#ifndef ROLLOUT_DIRECTIVEPRECEDENCE_H
#define ROLLOUT_DIRECTIVEPRECEDENCE_H

#include "rollout/RolloutDirective.h"

namespace lacewing {

/**
 * Whether aLeft replaces aRight, a directive of the same order. A rejection
 * precedes everything; otherwise the higher step precedes, at equal steps the
 * higher verdict and then the lower share.
 */
bool TakesPrecedence(const RolloutDirective& aLeft,
                     const RolloutDirective& aRight);

} // namespace lacewing

#endif // ROLLOUT_DIRECTIVEPRECEDENCE_H
