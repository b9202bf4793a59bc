#ifndef STANDIN_LOADREPORT_H
#define STANDIN_LOADREPORT_H

#include "lacewing/Clock.h"

#include <cstddef>
#include <deque>

namespace lacewing {

/** The number of requests in progress as it was some time ago. */
class LoadReport
{
public:
  void Set(TimePoint aNow, std::size_t aInProgress, Duration aLag);

  std::size_t Get(TimePoint aNow, Duration aLag);

private:
  struct Entry
  {
    TimePoint time;
    std::size_t inProgress;
  };

  void Forget(TimePoint aTime);

  std::deque<Entry> entries_;
};

} // namespace lacewing

#endif // STANDIN_LOADREPORT_H
