#ifndef TESTS_SOAK_SOAKREQUEST_H
#define TESTS_SOAK_SOAKREQUEST_H

#include "lacewing/Clock.h"
#include "lacewing/ServiceId.h"

#include <optional>
#include <string>
#include <vector>

namespace lacewing {

/** One caller's request and all that became of it. */
struct SoakRequest
{
  struct Run
  {
    std::string server;
    ServiceId service;
    TimePoint at;
  };

  std::string id;
  /** First part of the path, with both slashes. */
  std::string prefix;
  std::string method;
  std::string target;
  std::string body;
  bool atMostOnce = false;
  TimePoint sentAt;
  std::optional<TimePoint> endedAt;
  /** The status received; 0 without a whole answer. */
  unsigned status = 0;
  /** The caller closed the connection itself. */
  bool gaveUp = false;
  std::vector<Run> runs;
  /** Servers that it reached, run or not. */
  std::vector<std::string> reached;
};

} // namespace lacewing

#endif // TESTS_SOAK_SOAKREQUEST_H
