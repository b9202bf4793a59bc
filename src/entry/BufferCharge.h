#ifndef ENTRY_BUFFERCHARGE_H
#define ENTRY_BUFFERCHARGE_H

#include "entry/BufferBudget.h"

#include <memory>

namespace lacewing {

/** What one request holds of a BufferBudget; given back when destroyed. */
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

#endif // ENTRY_BUFFERCHARGE_H
