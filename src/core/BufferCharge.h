#ifndef CORE_BUFFERCHARGE_H
#define CORE_BUFFERCHARGE_H

#include "core/BufferBudget.h"

#include <memory>

namespace lacewing {

/** What one message holds of a BufferBudget; given back when destroyed. */
class BufferCharge
{
public:
  /** Null when the budget has less than aBytes left. */
  static std::shared_ptr<BufferCharge> Make(
    const std::shared_ptr<BufferBudget>& aBudget,
    ByteCount aBytes);

  ~BufferCharge();
  BufferCharge(const BufferCharge&) = delete;
  BufferCharge& operator=(const BufferCharge&) = delete;

  /** Takes more; false when the budget is used up. */
  bool Grow(ByteCount aBytes);

private:
  BufferCharge(std::shared_ptr<BufferBudget> aBudget, ByteCount aBytes);

  std::shared_ptr<BufferBudget> budget_;
  ByteCount bytes_;
};

} // namespace lacewing

#endif // CORE_BUFFERCHARGE_H
