#ifndef DECISION_ACTION_H
#define DECISION_ACTION_H

#include "decision/CancelAttempt.h"
#include "decision/FinishRequest.h"
#include "decision/SendAttempt.h"

#include <variant>
#include <vector>

namespace lacewing {

/** Something the engine's owner has to do, in the order given. */
using Action = std::variant<SendAttempt, CancelAttempt, FinishRequest>;
using Actions = std::vector<Action>;

} // namespace lacewing

#endif // DECISION_ACTION_H
