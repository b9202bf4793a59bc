#ifndef BENCH_DECISIONFAKETARGET_H
#define BENCH_DECISIONFAKETARGET_H

#include "lacewing/Clock.h"
#include "lacewing/SlotCount.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace lacewing {

/** A queue with slots and a load report that is refreshed now and then. */
class DecisionFakeTarget
{
public:
  struct Work
  {
    std::uint64_t id = 0;
    Duration time{ 0 };
  };

  DecisionFakeTarget(SlotCount aSlots, Duration aReportPeriod)
    : slots_(aSlots.value())
    , reportPeriod_(aReportPeriod)
  {
  }

  /** Multiplies the time of work that starts from now on. */
  void SetSlowness(int aFactor) { slowness_ = aFactor; }

  /** Adds work; returns it when it starts now. */
  std::optional<Work> Add(Work aWork)
  {
    if (running_ == slots_) {
      queue_.push_back(aWork);
      return std::nullopt;
    }
    ++running_;
    return Started(aWork);
  }

  /** Ends one piece of work; returns the next that starts. */
  std::optional<Work> End()
  {
    if (queue_.empty()) {
      --running_;
      return std::nullopt;
    }
    const Work next = queue_.front();
    queue_.pop_front();
    return Started(next);
  }

  /** Load in slots as of the last refresh. */
  double Report(TimePoint aNow)
  {
    if (aNow - reported_ >= reportPeriod_) {
      reported_ = aNow;
      report_ = static_cast<double>(running_ + queue_.size()) / slots_;
    }
    return report_;
  }

private:
  Work Started(Work aWork) const
  {
    return { aWork.id, aWork.time * slowness_ };
  }

  std::uint32_t slots_;
  Duration reportPeriod_;
  std::uint32_t running_ = 0;
  std::deque<Work> queue_;
  int slowness_ = 1;
  TimePoint reported_;
  double report_ = 0;
};

} // namespace lacewing

#endif // BENCH_DECISIONFAKETARGET_H
