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
};

constexpr std::array<CounterRow, 15> kRows{ {
  { "lacewing_connections_total",
    "Connections from callers.",
    &GatewayCounters::connections },
  { "lacewing_requests_total",
    "Requests read whole.",
    &GatewayCounters::requests },
  { "lacewing_succeeded_total",
    "Requests answered with a target's success.",
    &GatewayCounters::succeeded },
  { "lacewing_target_failures_total",
    "Requests answered with a target's own failure.",
    &GatewayCounters::targetFailures },
  { "lacewing_refused_total",
    "Requests answered 503, not run.",
    &GatewayCounters::refused },
  { "lacewing_lost_total",
    "Requests answered 502, outcome unknown.",
    &GatewayCounters::outcomeUnknown },
  { "lacewing_timed_out_total",
    "Requests answered 504 at their deadline.",
    &GatewayCounters::timedOut },
  { "lacewing_no_route_total",
    "Requests that no route takes.",
    &GatewayCounters::noRoute },
  { "lacewing_bad_requests_total",
    "Requests that could not be read.",
    &GatewayCounters::badRequests },
  { "lacewing_callers_gone_total",
    "Callers that left before their answer.",
    &GatewayCounters::callerDisconnects },
  { "lacewing_attempts_total",
    "Sendings to targets.",
    &GatewayCounters::attempts },
  { "lacewing_repeats_total",
    "Sendings after a failed one.",
    &GatewayCounters::retries },
  { "lacewing_hedges_total",
    "Second sendings while the first went on.",
    &GatewayCounters::hedges },
  { "lacewing_repeats_denied_total",
    "Repeats that the budget did not allow.",
    &GatewayCounters::retriesDenied },
  { "lacewing_choice_probes_total",
    "Questions to targets right before a choice.",
    &GatewayCounters::probes },
} };

} // namespace

std::string GatewayMetricsText(const GatewayCounters& aCounters)
{
  MetricsPage page;
  for (const CounterRow& row : kRows) {
    page.AddCounter(row.name, row.help, {}, aCounters.*row.member);
  }
  page.AddHistogram("lacewing_request_seconds",
                    "From a request's last byte to its answer.",
                    {},
                    aCounters.latency);
  return page.ToString();
}

} // namespace lacewing
