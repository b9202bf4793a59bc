#ifndef LACEWING_CUSTOMERID_H
#define LACEWING_CUSTOMERID_H

#include "lacewing/StrongString.h"

namespace lacewing {

/** Names a customer, to which API keys and a rate limit belong. */
using CustomerId = StrongString<struct CustomerIdTag>;

} // namespace lacewing

#endif // LACEWING_CUSTOMERID_H
