#ifndef NET_HTTPCALLID_H
#define NET_HTTPCALLID_H

#include "lacewing/StrongNumber.h"

namespace lacewing {

/** Identifies a call of one HttpClient. */
using HttpCallId = StrongNumber<struct HttpCallIdTag>;

} // namespace lacewing

#endif // NET_HTTPCALLID_H
