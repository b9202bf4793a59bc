#ifndef CORE_READBUDGET_H
#define CORE_READBUDGET_H

#include "lacewing/ByteCount.h"

namespace lacewing {

/** Where a reader takes the memory for messages that are not whole yet. */
class ReadBudget
{
public:
  virtual ~ReadBudget() = default;

  /** Takes nothing and returns false when the limit would be exceeded. */
  virtual bool Take(ByteCount aBytes) = 0;

  virtual void Return(ByteCount aBytes) = 0;
};

} // namespace lacewing

#endif // CORE_READBUDGET_H
