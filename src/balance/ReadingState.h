#ifndef BALANCE_READINGSTATE_H
#define BALANCE_READINGSTATE_H

#include <cstdint>

namespace lacewing {

/** The state of a target as found by a probe. */
enum class ReadingState : std::uint32_t
{
  /** The target accepts requests. */
  kServing = 0,
  /** The target responded that it is full, draining or unhealthy. */
  kRefusing = 1,
  /** The target did not respond in time, or not at all. */
  kUnresponsive = 2,
};

const char* ToString(ReadingState aState);

} // namespace lacewing

#endif // BALANCE_READINGSTATE_H
