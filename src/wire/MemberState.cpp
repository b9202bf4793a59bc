#include "wire/MemberState.h"

#include <array>
#include <cstddef>

namespace lacewing {

namespace {

// In the order of MemberState.
constexpr std::array<const char*, 4> kNames{ "live",
                                             "suspect",
                                             "leaving",
                                             "gone" };

} // namespace

const char* ToString(MemberState aState)
{
  return kNames[static_cast<std::size_t>(aState)];
}

nlohmann::json ToWire(MemberState aValue)
{
  return ToString(aValue);
}

bool FromWire(const nlohmann::json& aJson, MemberState& aValue)
{
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    if (aJson == kNames[i]) {
      aValue = static_cast<MemberState>(i);
      return true;
    }
  }
  return false;
}

} // namespace lacewing
