#ifndef ENTRY_BUFFERBUDGET_H
#define ENTRY_BUFFERBUDGET_H

#include "lacewing/ByteCount.h"

namespace lacewing {

/** Counts the bytes that one worker holds against its limit. */
class BufferBudget
{
public:
  explicit BufferBudget(ByteCount aLimit)
    : limit_(aLimit)
  {
  }

  /** Takes nothing and returns false when the limit would be exceeded. */
  bool Take(ByteCount aBytes)
  {
    if (aBytes > limit_ - used_) {
      return false;
    }
    used_ += aBytes;
    return true;
  }

  void Return(ByteCount aBytes) { used_ -= aBytes; }

  ByteCount Used() const { return used_; }

private:
  ByteCount limit_;
  ByteCount used_;
};

} // namespace lacewing

#endif // ENTRY_BUFFERBUDGET_H
