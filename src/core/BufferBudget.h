#ifndef CORE_BUFFERBUDGET_H
#define CORE_BUFFERBUDGET_H

#include "core/ReadBudget.h"
#include "lacewing/ByteCount.h"

namespace lacewing {

/** Counts the bytes that one thread holds against its limit. */
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

#endif // CORE_BUFFERBUDGET_H
