#include "quota/AllowanceMetrics.h"

#include "metrics/MetricsPage.h"

#include <array>
#include <cstdint>

namespace lacewing {

namespace {

struct CounterRow
{
  const char* name;
  const char* help;
  std::uint64_t AllowanceCounters::*member;
  /** Value of the label "part"; null without a label. */
  const char* part = nullptr;
};

constexpr const char* kRequests = "lacewing_allowance_requests_total";
constexpr const char* kRequestsHelp =
  "Requests for tokens, by what this host did with them.";

constexpr std::array<CounterRow, 7> kRows{ {
  { kRequests, kRequestsHelp, &AllowanceCounters::sent, "sent" },
  { kRequests, kRequestsHelp, &AllowanceCounters::decided, "decided" },
  { "lacewing_allowance_timeouts_total",
    "Requests for tokens that no owner decided in time.",
    &AllowanceCounters::timeouts },
  { "lacewing_allowance_tokens_leased_total",
    "Tokens that this host got from owners.",
    &AllowanceCounters::leased },
  { "lacewing_allowance_tokens_returned_total",
    "Tokens that this host gave back without use.",
    &AllowanceCounters::givenBack },
  { "lacewing_allowance_tokens_fallback_total",
    "Tokens that this host used while it heard no owner.",
    &AllowanceCounters::fallback },
  { "lacewing_allowance_refused_messages_total",
    "Received datagrams that could not be decoded.",
    &AllowanceCounters::decodeErrors },
} };

} // namespace

std::string AllowanceMetricsText(const AllowanceCounters& aCounters,
                                 std::size_t aOwned)
{
  MetricsPage page;
  for (const CounterRow& row : kRows) {
    const MetricLabels labels = row.part == nullptr
                                  ? MetricLabels()
                                  : MetricLabels{ { "part", row.part } };
    page.AddCounter(row.name, row.help, labels, aCounters.*row.member);
  }
  page.AddGauge("lacewing_allowance_owned",
                "Customers whose tokens this host gives out.",
                {},
                static_cast<double>(aOwned));
  return page.ToString();
}

} // namespace lacewing
