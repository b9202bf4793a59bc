#ifndef LACEWING_REVISION_H
#define LACEWING_REVISION_H

#include "lacewing/StrongNumber.h"

namespace lacewing {

/** The store's change counter; zero stands for nothing read yet. */
using Revision = StrongNumber<struct RevisionTag>;

} // namespace lacewing

#endif // LACEWING_REVISION_H
