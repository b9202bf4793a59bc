#ifndef DECISION_CANCELATTEMPT_H
#define DECISION_CANCELATTEMPT_H

#include "lacewing/AttemptId.h"

namespace lacewing {

/** Action: close the attempt's connection; no event follows. */
struct CancelAttempt
{
  AttemptId attempt;
};

} // namespace lacewing

#endif // DECISION_CANCELATTEMPT_H
