#ifndef CORE_BUFFERBUDGET_H
#define CORE_BUFFERBUDGET_H

#include "core/ReadBudget.h"
#include "lacewing/ByteCount.h"

#include <memory>
#include <utility>

namespace lacewing {

/**
 * Counts the bytes that one thread holds against its limit, and against the
 * limit of the budget that it is a part of, if any.
 */
class BufferBudget final : public ReadBudget
{
public:
  explicit BufferBudget(ByteCount aLimit,
                        std::shared_ptr<BufferBudget> aWhole = nullptr)
    : limit_(aLimit)
    , whole_(std::move(aWhole))
  {
  }

  bool Take(ByteCount aBytes) override
  {
    if (aBytes > limit_ - used_ || (whole_ && !whole_->Take(aBytes))) {
      return false;
    }
    used_ += aBytes;
    return true;
  }

  void Return(ByteCount aBytes) override
  {
    used_ -= aBytes;
    if (whole_) {
      whole_->Return(aBytes);
    }
  }

  ByteCount Limit() const { return limit_; }
  ByteCount Used() const { return used_; }

private:
  const ByteCount limit_;
  const std::shared_ptr<BufferBudget> whole_;
  ByteCount used_;
};

} // namespace lacewing

#endif // CORE_BUFFERBUDGET_H
