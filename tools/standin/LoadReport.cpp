#include "standin/LoadReport.h"

namespace lacewing {

void LoadReport::Set(TimePoint aNow, std::size_t aInProgress, Duration aLag)
{
  entries_.push_back({ aNow, aInProgress });
  Forget(aNow - aLag);
}

std::size_t LoadReport::Get(TimePoint aNow, Duration aLag)
{
  Forget(aNow - aLag);
  const bool known = !entries_.empty() && entries_.front().time <= aNow - aLag;
  return known ? entries_.front().inProgress : 0;
}

void LoadReport::Forget(TimePoint aTime)
{
  while (entries_.size() > 1 && entries_[1].time <= aTime) {
    entries_.pop_front();
  }
}

} // namespace lacewing
