#ifndef TESTS_SUPPORT_BUSYTHREAD_H
#define TESTS_SUPPORT_BUSYTHREAD_H

#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <chrono>
#include <thread>

namespace lacewing {

/**
 * Keeps the io_context's thread busy for aTime, so that what arrives and
 * expires meanwhile is met in one step.
 */
inline void KeepBusy(asio::io_context& aContext,
                     std::chrono::milliseconds aTime)
{
  asio::post(aContext, [aTime] { std::this_thread::sleep_for(aTime); });
}

} // namespace lacewing

#endif // TESTS_SUPPORT_BUSYTHREAD_H
