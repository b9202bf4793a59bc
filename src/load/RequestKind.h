#ifndef LOAD_REQUESTKIND_H
#define LOAD_REQUESTKIND_H

#include "core/JsonProperty.h"

#include <array>
#include <string>

namespace lacewing {

/** One kind of request of an experiment's mix. */
struct RequestKind
{
  /** Share of the mix, relative to the other kinds. */
  double weight = 1;
  ServiceId service;
  std::string method = "GET";
  /** Path after the service. */
  std::string path = "/";
  ByteCount body;
  ByteCount answer{ 64 };
  /** Sent as Lacewing-Deadline-Ms; zero for none. */
  Duration deadline{};
  /** Time after which the caller gives up. */
  Duration timeout = std::chrono::seconds(10);
};

inline constexpr std::array<JsonProperty<RequestKind>, 8> kKindProperties{ {
  { "weight", &RequestKind::weight },
  { "service", &RequestKind::service },
  { "method", &RequestKind::method },
  { "path", &RequestKind::path },
  { "body_bytes", &RequestKind::body },
  { "answer_bytes", &RequestKind::answer },
  { "deadline_ms", &RequestKind::deadline },
  { "timeout_ms", &RequestKind::timeout },
} };

} // namespace lacewing

#endif // LOAD_REQUESTKIND_H
