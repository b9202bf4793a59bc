#include "core/BufferCharge.h"

#include <utility>

namespace lacewing {

std::shared_ptr<BufferCharge> BufferCharge::Make(
  const std::shared_ptr<BufferBudget>& aBudget,
  ByteCount aBytes)
{
  if (!aBudget->Take(aBytes)) {
    return nullptr;
  }
  return std::shared_ptr<BufferCharge>(new BufferCharge(aBudget, aBytes));
}

BufferCharge::BufferCharge(std::shared_ptr<BufferBudget> aBudget,
                           ByteCount aBytes)
  : budget_(std::move(aBudget))
  , bytes_(aBytes)
{
}

BufferCharge::~BufferCharge()
{
  budget_->Return(bytes_);
}

bool BufferCharge::Grow(ByteCount aBytes)
{
  if (!budget_->Take(aBytes)) {
    return false;
  }
  bytes_ += aBytes;
  return true;
}

} // namespace lacewing
