#ifndef CONFIG_WRITETOKEN_H
#define CONFIG_WRITETOKEN_H

#include "lacewing/StrongString.h"

namespace lacewing {

/** Identifies one write of the head, so that its writer recognises it. */
using WriteToken = StrongString<struct WriteTokenTag>;

} // namespace lacewing

#endif // CONFIG_WRITETOKEN_H
