#ifndef CORE_ONESHOTTIMER_H
#define CORE_ONESHOTTIMER_H

#include "lacewing/Clock.h"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>

namespace lacewing {

/**
 * Calls a handler once at a set time. A handler never runs after Cancel(), a
 * later Arm() or the timer's end, even if its time has come: asio's cancel()
 * does not take back a handler that is already queued. Events that the thread
 * noticed together with the expiry are handled before, so that they can cancel
 * the timer. On a busy thread sockets may be unread still (asio handles at most
 * 128 a step), so a timeout that ends something reads first. Belongs to the
 * thread that runs the io_context.
 */
class OneShotTimer
{
public:
  using Handler = std::function<void()>;

  /**
   * Calls aHandler once after aAfter. It cannot be cancelled and is dropped
   * with the io_context; for waits without an owner.
   */
  static void RunAfter(asio::io_context& aContext,
                       Duration aAfter,
                       Handler aHandler);

  explicit OneShotTimer(asio::io_context& aContext);
  ~OneShotTimer();
  OneShotTimer(const OneShotTimer&) = delete;
  OneShotTimer& operator=(const OneShotTimer&) = delete;

  /** Calls aHandler after aAfter; replaces the handler that was armed. */
  void Arm(Duration aAfter, Handler aHandler);

  /** Calls aHandler at aAt; replaces the handler that was armed. */
  void ArmAt(TimePoint aAt, Handler aHandler);

  void Cancel();

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace lacewing

#endif // CORE_ONESHOTTIMER_H
