#ifndef STANDIN_RUNLOG_H
#define STANDIN_RUNLOG_H

#include "standin/RunRecord.h"

#include <deque>
#include <string>

namespace lacewing {

/** The runs of all targets of the process in the order of their start. */
class RunLog
{
public:
  using Index = std::size_t;

  Index Add(RunRecord aRecord);
  void SetEnd(Index aRun, RunEnd aEnd);
  void Clear();

  /** One JSON object a line. */
  std::string ToJsonLines() const;

private:
  std::deque<RunRecord> runs_;
  /** Index of the first run kept. */
  Index first_ = 0;
};

} // namespace lacewing

#endif // STANDIN_RUNLOG_H
