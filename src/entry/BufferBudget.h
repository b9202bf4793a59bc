#ifndef ENTRY_BUFFERBUDGET_H
#define ENTRY_BUFFERBUDGET_H

#include "lacewing/ByteCount.h"
#include "net/ReadBudget.h"

namespace lacewing {

/** Counts the bytes that one worker holds against its limit. */
class BufferBudget final : public ReadBudget
{
public:
  explicit BufferBudget(ByteCount aLimit)
    : limit_(aLimit)
  {
  }

  bool Take(ByteCount aBytes) override
  {
    if (aBytes > limit_ - used_) {
      return false;
    }
    used_ += aBytes;
    return true;
  }

  void Return(ByteCount aBytes) override { used_ -= aBytes; }

  ByteCount Used() const { return used_; }

private:
  ByteCount limit_;
  ByteCount used_;
};

} // namespace lacewing

#endif // ENTRY_BUFFERBUDGET_H
