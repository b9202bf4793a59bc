#ifndef LACEWING_CONFIGVERSION_H
#define LACEWING_CONFIGVERSION_H

#include "lacewing/StrongNumber.h"

namespace lacewing {

/** Version of the configuration; zero stands for none. */
using ConfigVersion = StrongNumber<struct ConfigVersionTag>;

} // namespace lacewing

#endif // LACEWING_CONFIGVERSION_H
