#ifndef HTTP_PARSERLIMITS_H
#define HTTP_PARSERLIMITS_H

#include "lacewing/ByteCount.h"

namespace lacewing {

/** What a message may at most take; more makes it fail. */
struct ParserLimits
{
  ByteCount maxHead{ 16U << 10U };
  ByteCount maxBody{ 16U << 20U };
};

} // namespace lacewing

#endif // HTTP_PARSERLIMITS_H
