#ifndef CONTROL_REPEATINGTIMER_H
#define CONTROL_REPEATINGTIMER_H

#include "core/OneShotTimer.h"
#include "lacewing/Clock.h"

#include <functional>

namespace lacewing {

/** Calls a handler in a period that the handler may change. */
class RepeatingTimer
{
public:
  /** The handler returns the time until its next call. */
  RepeatingTimer(asio::io_context& aContext, std::function<Duration()> aHandler)
    : timer_(aContext)
    , handler_(std::move(aHandler))
  {
    Wait(Duration(0));
  }

private:
  void Wait(Duration aTime)
  {
    timer_.Arm(aTime, [this] { Wait(handler_()); });
  }

  OneShotTimer timer_;
  std::function<Duration()> handler_;
};

} // namespace lacewing

#endif // CONTROL_REPEATINGTIMER_H
