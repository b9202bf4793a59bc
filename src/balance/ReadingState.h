#ifndef BALANCE_READINGSTATE_H
#define BALANCE_READINGSTATE_H

#include <cstdint>

namespace lacewing {

/** What a probe found. */
enum class ReadingState : std::uint32_t
{
  /** It takes requests. */
  kServing = 0,
  /** It answers, but says that it is full, leaving or ill. */
  kRefusing = 1,
  /** It did not answer in time, or not at all. */
  kUnresponsive = 2,
};

const char* ToString(ReadingState aState);

} // namespace lacewing

#endif // BALANCE_READINGSTATE_H
