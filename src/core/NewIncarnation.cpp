#include "core/NewIncarnation.h"

#include <chrono>
#include <cstdint>

namespace lacewing {

Incarnation NewIncarnation()
{
  const auto date = std::chrono::system_clock::now().time_since_epoch();
  return Incarnation(static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(date).count()));
}

} // namespace lacewing
