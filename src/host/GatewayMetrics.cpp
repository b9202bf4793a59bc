#include "host/GatewayMetrics.h"

#include "metrics/MetricsPage.h"

#include <array>

namespace lacewing {

namespace {

struct CounterRow
{
  const char* name;
  const char* help;
  std::uint64_t GatewayCounters::*member;
  /** Value of the label "reason"; null without a label. */
  const char* reason = nullptr;
};

constexpr const char* kUnanswered = "lacewing_unanswered_total";
constexpr const char* kUnansweredHelp =
  "Requests whose connection closed before their response was written.";

constexpr std::array<CounterRow, 23> kRows{ {
  { "lacewing_connections_total",
    "Connections accepted from callers.",
    &GatewayCounters::connections },
  { "lacewing_requests_total",
    "Requests that were read completely.",
    &GatewayCounters::requests },
  { "lacewing_succeeded_total",
    "Requests for which a target's success response was returned.",
    &GatewayCounters::succeeded },
  { "lacewing_target_failures_total",
    "Requests for which a target's own error response was returned.",
    &GatewayCounters::targetFailures },
  { "lacewing_refused_total",
    "Requests refused with status 503; no target ran them.",
    &GatewayCounters::refused },
  { "lacewing_lost_total",
    "Requests that ended with status 502; their outcome is unknown.",
    &GatewayCounters::outcomeUnknown },
  { "lacewing_timed_out_total",
    "Requests that ended with status 504 at their deadline.",
    &GatewayCounters::timedOut },
  { "lacewing_no_route_total",
    "Requests that matched no route.",
    &GatewayCounters::noRoute },
  { "lacewing_unknown_key_total",
    "Requests without a valid key on a route that needs one.",
    &GatewayCounters::unknownKey },
  { "lacewing_over_limit_total",
    "Requests refused because their customer is over its limit.",
    &GatewayCounters::overLimit },
  { "lacewing_bad_requests_total",
    "Requests rejected because they could not be read.",
    &GatewayCounters::badRequests },
  { "lacewing_callers_gone_total",
    "Callers that disconnected before their response.",
    &GatewayCounters::callerDisconnects },
  { kUnanswered,
    kUnansweredHelp,
    &GatewayCounters::unansweredCallerGone,
    "caller-gone" },
  { kUnanswered,
    kUnansweredHelp,
    &GatewayCounters::unansweredTimeout,
    "timeout" },
  { kUnanswered, kUnansweredHelp, &GatewayCounters::unansweredStop, "stop" },
  { "lacewing_attempts_total",
    "Attempts sent to targets, first ones included.",
    &GatewayCounters::attempts },
  { "lacewing_repeats_total",
    "Attempts sent after an earlier attempt failed.",
    &GatewayCounters::retries },
  { "lacewing_hedges_total",
    "Second attempts sent while the first was still running.",
    &GatewayCounters::hedges },
  { "lacewing_repeats_denied_total",
    "Retries that the retry budget did not allow.",
    &GatewayCounters::retriesDenied },
  { "lacewing_choice_probes_total",
    "Probes sent to targets right before one was chosen.",
    &GatewayCounters::probes },
  { "lacewing_probes_denied_total",
    "Probes before a choice that the budget for probes did not allow.",
    &GatewayCounters::probesDenied },
  { "lacewing_target_connections_total",
    "Connections opened to targets for requests and probes before a choice.",
    &GatewayCounters::targetConnections },
  { "lacewing_connections_denied_total",
    "Times that a target was passed over, because this host's connections to "
    "it had reached their limit.",
    &GatewayCounters::connectionsDenied },
} };

} // namespace

std::string GatewayMetricsText(const GatewayCounters& aCounters)
{
  MetricsPage page;
  for (const CounterRow& row : kRows) {
    const MetricLabels labels = row.reason == nullptr
                                  ? MetricLabels()
                                  : MetricLabels{ { "reason", row.reason } };
    page.AddCounter(row.name, row.help, labels, aCounters.*row.member);
  }
  page.AddHistogram("lacewing_request_seconds",
                    "Seconds from a request's last byte to its response.",
                    {},
                    aCounters.latency);
  return page.ToString();
}

} // namespace lacewing
