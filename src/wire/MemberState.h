#ifndef WIRE_MEMBERSTATE_H
#define WIRE_MEMBERSTATE_H

#include <nlohmann/json.hpp>

namespace lacewing {

/**
 * What is known of a host. Within one incarnation a later value replaces an
 * earlier one; the host itself refutes kSuspect and kGone with a higher
 * incarnation.
 */
enum class MemberState
{
  kLive,
  /** Not heard for a while. */
  kSuspect,
  /** Said that it stops. */
  kLeaving,
  kGone,
};

/** "live", "suspect", "leaving" or "gone". */
const char* ToString(MemberState aState);

nlohmann::json ToWire(MemberState aValue);
bool FromWire(const nlohmann::json& aJson, MemberState& aValue);

} // namespace lacewing

#endif // WIRE_MEMBERSTATE_H
