#ifndef STANDIN_RUNEND_H
#define STANDIN_RUNEND_H

namespace lacewing {

/** How a target's run of a request ended. */
enum class RunEnd
{
  kRunning,
  kAnswered,
  /** The caller closed its connection. */
  kCancelled,
  /** The target fell over or was restarted. */
  kDropped,
  /** Closed without an answer by close_after_read. */
  kClosed,
  /** Answered 500 by fail_fast. */
  kFailed,
};

/** The end as a word for the run log. */
const char* ToString(RunEnd aEnd);

} // namespace lacewing

#endif // STANDIN_RUNEND_H
