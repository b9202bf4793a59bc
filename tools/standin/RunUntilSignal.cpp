#include "standin/RunUntilSignal.h"

#include <asio/signal_set.hpp>

#include <csignal>

namespace lacewing {

void RunUntilSignal(asio::io_context& aContext)
{
  asio::signal_set signals(aContext, SIGTERM, SIGINT);
  signals.async_wait(
    [&aContext](const asio::error_code&, int) { aContext.stop(); });
  aContext.run();
}

} // namespace lacewing
