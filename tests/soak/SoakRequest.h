#ifndef TESTS_SOAK_SOAKREQUEST_H
#define TESTS_SOAK_SOAKREQUEST_H

#include "lacewing/Clock.h"
#include "lacewing/ConfigVersion.h"
#include "lacewing/ServiceId.h"

#include <optional>
#include <string>
#include <vector>

namespace lacewing {

/** One caller's request and its observed outcome. */
struct SoakRequest
{
  /** The processing of the request by one server. */
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
  /**
   * The configuration version whose own route this is; zero for the routes that
   * all versions have.
   */
  ConfigVersion version;
  std::string host;
  /** Whether the caller ended its sending side after the request. */
  bool endedSending = false;
  TimePoint sentAt;
  std::optional<TimePoint> endedAt;
  /** Status of the response; 0 without a complete response. */
  unsigned status = 0;
  /** Whether the caller closed the connection before the response. */
  bool gaveUp = false;
  /** Whether it waited for longer than its whole deadline by then. */
  bool overdue = false;
  /** What the host went through before the request ended. */
  bool hostDisturbed = false;
  bool hostRestarting = false;
  std::vector<Run> runs;
  /** Servers that the request reached, whether or not they ran it. */
  std::vector<std::string> reached;
};

} // namespace lacewing

#endif // TESTS_SOAK_SOAKREQUEST_H
