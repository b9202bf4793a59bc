#ifndef DECISION_GRANTID_H
#define DECISION_GRANTID_H

#include "lacewing/StrongNumber.h"

namespace lacewing {

/** Numbers grants; later grants of a target have higher numbers. */
using GrantId = StrongNumber<struct GrantIdTag>;

} // namespace lacewing

#endif // DECISION_GRANTID_H
