#include "core/OneShotTimer.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <utility>

namespace lacewing {

struct OneShotTimer::Impl : std::enable_shared_from_this<Impl>
{
  asio::steady_timer timer;
  Handler handler;
  /** Counts what was armed and cancelled, to recognize outdated waits. */
  std::uint64_t round = 0;

  explicit Impl(asio::io_context& aContext)
    : timer(aContext)
  {
  }

  void Wait(Handler aHandler)
  {
    handler = std::move(aHandler);
    timer.async_wait([self = weak_from_this(),
                      armed = ++round](const asio::error_code& aError) {
      const auto impl = self.lock();
      if (!aError && impl && impl->round == armed) {
        // Results of what was read in this step are queued already.
        asio::post(impl->timer.get_executor(),
                   [self, armed] { RunIfCurrent(self, armed); });
      }
    });
  }

  static void RunIfCurrent(const std::weak_ptr<Impl>& aSelf,
                           std::uint64_t aArmed)
  {
    const auto impl = aSelf.lock();
    if (!impl || impl->round != aArmed) {
      return;
    }
    // The handler may arm the timer again or destroy its owner.
    if (const Handler run = std::exchange(impl->handler, nullptr)) {
      run();
    }
  }
};

void OneShotTimer::RunAfter(asio::io_context& aContext,
                            Duration aAfter,
                            Handler aHandler)
{
  const auto timer = std::make_shared<asio::steady_timer>(aContext, aAfter);
  timer->async_wait(
    [timer, handler = std::move(aHandler)](const asio::error_code& aError) {
      if (!aError) {
        handler();
      }
    });
}

OneShotTimer::OneShotTimer(asio::io_context& aContext)
  : impl_(std::make_shared<Impl>(aContext))
{
}

OneShotTimer::~OneShotTimer()
{
  Cancel();
}

void OneShotTimer::Arm(Duration aAfter, Handler aHandler)
{
  impl_->timer.expires_after(aAfter);
  impl_->Wait(std::move(aHandler));
}

void OneShotTimer::ArmAt(TimePoint aAt, Handler aHandler)
{
  impl_->timer.expires_at(aAt);
  impl_->Wait(std::move(aHandler));
}

void OneShotTimer::Cancel()
{
  ++impl_->round;
  impl_->handler = nullptr;
  impl_->timer.cancel();
}

} // namespace lacewing
