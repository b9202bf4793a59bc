#include "decision/WaitQueue.h"

#include <cassert>

namespace lacewing {

void WaitQueue::Add(std::uint64_t aArrival, RequestId aRequest)
{
  const bool added = waiting_.emplace(aArrival, aRequest).second;
  assert(added);
  static_cast<void>(added);
}

void WaitQueue::Remove(std::uint64_t aArrival)
{
  waiting_.erase(aArrival);
}

RequestId WaitQueue::First() const
{
  assert(!waiting_.empty());
  return waiting_.begin()->second;
}

RequestId WaitQueue::Last() const
{
  assert(!waiting_.empty());
  return waiting_.rbegin()->second;
}

} // namespace lacewing
