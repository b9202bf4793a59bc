#ifndef LOAD_TIMELINEEVENT_H
#define LOAD_TIMELINEEVENT_H

#include "core/JsonProperty.h"

#include <array>
#include <string>

namespace lacewing {

/** An HTTP request at a moment of the experiment, to set a fault. */
struct TimelineEvent
{
  Duration at{};
  Endpoint endpoint;
  std::string method = "PUT";
  /** Path and query. */
  std::string target = "/faults";
  std::string body;
};

inline constexpr std::array<JsonProperty<TimelineEvent>, 5> kEventProperties{ {
  { "at_ms", &TimelineEvent::at },
  { "address", &TimelineEvent::endpoint },
  { "method", &TimelineEvent::method },
  { "path", &TimelineEvent::target },
  { "body", &TimelineEvent::body },
} };

} // namespace lacewing

#endif // LOAD_TIMELINEEVENT_H
