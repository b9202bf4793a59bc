#include "balance/ConnectionCap.h"

#include <algorithm>

namespace lacewing {

namespace {

// The rest is for the owners' probes, for hosts that are not known yet, and for
// connections that the target has not seen closed.
constexpr double kUsedShare = 0.8;
// One for a request in progress and one for a probe.
constexpr std::uint32_t kLeast = 2;

} // namespace

std::optional<ConnectionCount> ConnectionCap(
  std::optional<ConnectionCount> aMax,
  unsigned aHosts)
{
  if (!aMax) {
    return std::nullopt;
  }
  const double share = aMax->value() * kUsedShare / std::max(1U, aHosts);
  return ConnectionCount(std::max(kLeast, static_cast<std::uint32_t>(share)));
}

} // namespace lacewing
