#include "wire/WireKind.h"

namespace lacewing {

Outcome<std::string> WireKind(const nlohmann::json& aFrame)
{
  constexpr const char* kRemedy = "run releases that speak version 1";
  if (!aFrame.is_object()) {
    return Fail(ErrorKind::kInvalidMessage, "the frame is no map", kRemedy);
  }
  const auto version = aFrame.find("v");
  if (version == aFrame.end() || *version != kWireVersion) {
    return Fail(ErrorKind::kInvalidMessage,
                "the frame's version is not " + std::to_string(kWireVersion),
                kRemedy);
  }
  const auto kind = aFrame.find("t");
  if (kind == aFrame.end() || !kind->is_string()) {
    return Fail(ErrorKind::kInvalidMessage, "the frame names no kind", kRemedy);
  }
  return kind->get<std::string>();
}

} // namespace lacewing
