#ifndef ENTRY_GRACEFULSTOP_H
#define ENTRY_GRACEFULSTOP_H

#include "core/OneShotTimer.h"
#include "entry/EntryControl.h"
#include "lacewing/Clock.h"

#include <asio/io_context.hpp>

namespace lacewing {

/**
 * Takes the steps of a planned stop: /ready off, drain delay, end of
 * listening, end of the open requests, end of the control thread.
 */
class GracefulStop
{
public:
  GracefulStop(asio::io_context& aContext,
               const Clock& aClock,
               EntryControl& aControl,
               std::chrono::milliseconds aDrainDelay);

  /** Later calls do nothing. */
  void Begin();

  /** Whether every open request was answered before the end. */
  bool AllAnswered() const { return allAnswered_; }

private:
  void AfterDrain();
  void Poll();

  asio::io_context& context_;
  const Clock& clock_;
  EntryControl& control_;
  std::chrono::milliseconds drainDelay_;
  OneShotTimer timer_;
  TimePoint giveUp_;
  bool begun_ = false;
  bool allAnswered_ = false;
};

} // namespace lacewing

#endif // ENTRY_GRACEFULSTOP_H
