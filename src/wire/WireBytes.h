#ifndef WIRE_WIREBYTES_H
#define WIRE_WIREBYTES_H

#include "lacewing/StrongString.h"

namespace lacewing {

/** Bytes that travel as a CBOR byte string. */
using WireBytes = StrongString<struct WireBytesTag>;

} // namespace lacewing

#endif // WIRE_WIREBYTES_H
