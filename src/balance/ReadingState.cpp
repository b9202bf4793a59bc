#include "balance/ReadingState.h"

namespace lacewing {

const char* ToString(ReadingState aState)
{
  switch (aState) {
    case ReadingState::kServing:
      return "serving";
    case ReadingState::kRefusing:
      return "refusing";
    case ReadingState::kUnresponsive:
      return "silent";
  }
  return "unknown";
}

} // namespace lacewing
