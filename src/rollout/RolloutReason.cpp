#include "rollout/RolloutReason.h"

#include <array>
#include <cstddef>

namespace lacewing {

namespace {

constexpr std::array<const char*, 14> kNames = {
  "advanced",
  "proven",
  "adopted",
  "bad-responses",
  "no-proof-in-time",
  "exposure",
  "rejected-elsewhere",
  "waits-for-time",
  "waits-for-evidence",
  "waits-for-proof",
  "waits-for-exposure",
  "waits-for-targets",
  "waits-for-room",
  "waits-for-hosts",
};

} // namespace

const char* ToString(RolloutReason aReason)
{
  const auto index = static_cast<std::size_t>(aReason);
  return index < kNames.size() ? kNames[index] : "unknown";
}

} // namespace lacewing
