#include "config/Lifecycle.h"

#include <array>
#include <utility>

namespace lacewing {

namespace {

constexpr std::array<std::pair<const char*, Lifecycle>, 4> kNames{ {
  { "joining", Lifecycle::kJoining },
  { "in-service", Lifecycle::kInService },
  { "leaving", Lifecycle::kLeaving },
  { "out", Lifecycle::kOut },
} };

} // namespace

const char* ToString(Lifecycle aLifecycle)
{
  for (const auto& [name, lifecycle] : kNames) {
    if (lifecycle == aLifecycle) {
      return name;
    }
  }
  return "out";
}

Outcome<Lifecycle> ParseLifecycle(const std::string& aText)
{
  for (const auto& [name, lifecycle] : kNames) {
    if (aText == name) {
      return lifecycle;
    }
  }
  return Fail(ErrorKind::kInvalidArgument,
              "\"" + aText + "\" is not a state",
              "write joining, in-service, leaving or out");
}

} // namespace lacewing
