#ifndef DECISION_LEASEACTION_H
#define DECISION_LEASEACTION_H

#include "decision/LeaseRead.h"
#include "decision/LeaseWrite.h"

#include <optional>
#include <variant>

namespace lacewing {

/** The store call that a LeaseKeeper needs next, if any. */
using LeaseAction = std::optional<std::variant<LeaseRead, LeaseWrite>>;

} // namespace lacewing

#endif // DECISION_LEASEACTION_H
