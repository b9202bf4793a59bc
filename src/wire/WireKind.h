#ifndef WIRE_WIREKIND_H
#define WIRE_WIREKIND_H

#include "lacewing/Outcome.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace lacewing {

/** Version of the frames between our processes, the field "v". */
constexpr std::uint32_t kWireVersion = 1;

/**
 * The kind of a frame, its field "t". Fails with kInvalidMessage when the
 * frame is no map, has no kind or is of another protocol version.
 */
Outcome<std::string> WireKind(const nlohmann::json& aFrame);

} // namespace lacewing

#endif // WIRE_WIREKIND_H
