#ifndef TESTS_SUPPORT_RUNUNTIL_H
#define TESTS_SUPPORT_RUNUNTIL_H

#include <asio/io_context.hpp>

#include <chrono>

namespace lacewing {

/** Runs the io_context until the condition holds; false after 10 s. */
template<class Condition>
bool RunUntil(asio::io_context& aContext, Condition aCondition)
{
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!aCondition() && std::chrono::steady_clock::now() < end) {
    aContext.restart();
    aContext.run_one_for(std::chrono::milliseconds(20));
  }
  return aCondition();
}

} // namespace lacewing

#endif // TESTS_SUPPORT_RUNUNTIL_H
