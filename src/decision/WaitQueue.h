#ifndef DECISION_WAITQUEUE_H
#define DECISION_WAITQUEUE_H

#include "lacewing/RequestId.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace lacewing {

/** Requests of one service that wait for a slot, in order of arrival. */
class WaitQueue
{
public:
  bool empty() const { return waiting_.empty(); }
  std::size_t size() const { return waiting_.size(); }

  /** aArrival is unique among the waiting requests. */
  void Add(std::uint64_t aArrival, RequestId aRequest);
  void Remove(std::uint64_t aArrival);
  /** The request that arrived first; the queue is not empty. */
  RequestId First() const;
  /** The request that arrived last; the queue is not empty. */
  RequestId Last() const;

private:
  std::map<std::uint64_t, RequestId> waiting_;
};

} // namespace lacewing

#endif // DECISION_WAITQUEUE_H
