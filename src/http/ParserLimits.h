#ifndef HTTP_PARSERLIMITS_H
#define HTTP_PARSERLIMITS_H

#include "core/BufferBudget.h"
#include "lacewing/ByteCount.h"

#include <memory>

namespace lacewing {

/** What a message may at most take; more makes it fail. */
struct ParserLimits
{
  ByteCount maxHead{ 16U << 10U };
  ByteCount maxBody{ 16U << 20U };
  /** What the bodies of all messages together count against; may be null. */
  std::shared_ptr<BufferBudget> budget = nullptr;
};

} // namespace lacewing

#endif // HTTP_PARSERLIMITS_H
