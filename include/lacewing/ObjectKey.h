#ifndef LACEWING_OBJECTKEY_H
#define LACEWING_OBJECTKEY_H

#include "lacewing/StrongString.h"

namespace lacewing {

/** Names an object in the platform's store. */
using ObjectKey = StrongString<struct ObjectKeyTag>;

} // namespace lacewing

#endif // LACEWING_OBJECTKEY_H
