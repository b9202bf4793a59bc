#ifndef LACEWING_OBJECTTAG_H
#define LACEWING_OBJECTTAG_H

#include "lacewing/StrongString.h"

namespace lacewing {

/** The ETag of one version of a stored object, with its quotes. */
using ObjectTag = StrongString<struct ObjectTagTag>;

} // namespace lacewing

#endif // LACEWING_OBJECTTAG_H
