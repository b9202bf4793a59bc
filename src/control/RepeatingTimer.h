#ifndef CONTROL_REPEATINGTIMER_H
#define CONTROL_REPEATINGTIMER_H

#include "lacewing/Clock.h"

#include <asio/steady_timer.hpp>

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
    timer_.expires_after(aTime);
    timer_.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        Wait(handler_());
      }
    });
  }

  asio::steady_timer timer_;
  std::function<Duration()> handler_;
};

} // namespace lacewing

#endif // CONTROL_REPEATINGTIMER_H
