#include "control/ControlMetrics.h"

#include "control/ControlState.h"
#include "metrics/MetricsPage.h"

#include <map>

namespace lacewing {

namespace {

void AddPeers(const PeerCounts& aCounts, MetricsPage& aPage)
{
  for (const auto& [kind, sent] : aCounts.sent) {
    aPage.AddCounter("lacewing_control_messages_sent_total",
                     "Messages sent to other processes.",
                     { { "kind", kind } },
                     sent.messages);
    aPage.AddCounter("lacewing_control_bytes_sent_total",
                     "Bytes of messages sent to other processes.",
                     { { "kind", kind } },
                     sent.bytes.value());
  }
  for (const auto& [kind, received] : aCounts.received) {
    aPage.AddCounter("lacewing_control_messages_received_total",
                     "Messages received from other processes.",
                     { { "kind", kind } },
                     received);
  }
  const std::map<const char*, std::uint64_t> refused{
    { "malformed", aCounts.malformed },
    { "hello", aCounts.refused },
    { "unknown_kind", aCounts.unknownKinds }
  };
  for (const auto& [reason, count] : refused) {
    aPage.AddCounter("lacewing_control_frames_refused_total",
                     "Frames refused or ignored.",
                     { { "reason", reason } },
                     count);
  }
}

void AddStore(const ControlState& aState, MetricsPage& aPage)
{
  const StoreCallCounts& counts = aState.store.Counts();
  for (std::size_t i = 0; i < kStoreCallNames.size(); ++i) {
    aPage.AddCounter("lacewing_control_store_calls_total",
                     "Calls of the platform's store.",
                     { { "kind", kStoreCallNames[i] } },
                     counts.started[i]);
    aPage.AddCounter("lacewing_control_store_failures_total",
                     "Calls of the platform's store without a usable answer.",
                     { { "kind", kStoreCallNames[i] } },
                     counts.failed[i]);
  }
  const ConfigFollowerCounts& follower = aState.follower.Counts();
  aPage.AddCounter("lacewing_control_stale_heads_total",
                   "Heads read with a lower version than the one in force.",
                   {},
                   follower.staleHeads);
  aPage.AddCounter("lacewing_control_invalid_objects_total",
                   "Stored objects that could not be used.",
                   {},
                   follower.invalidObjects + aState.leases.InvalidObjects());
}

void AddState(const ControlState& aState, MetricsPage& aPage)
{
  aPage.AddGauge("lacewing_control_config_version",
                 "Version of the configuration in force.",
                 {},
                 static_cast<double>(aState.configs.Version().value()));
  std::map<const char*, double> states;
  for (const auto& [host, member] : aState.members.All()) {
    states[ToString(member.entry.state)] += 1;
  }
  for (const auto& [state, count] : states) {
    aPage.AddGauge("lacewing_control_members",
                   "Hosts known, by state.",
                   { { "state", state } },
                   count);
  }
  aPage.AddGauge("lacewing_control_leases_held",
                 "Shards whose lease is held here.",
                 {},
                 static_cast<double>(aState.leases.Held().size()));
  aPage.AddGauge("lacewing_control_peers_connected",
                 "Controlds connected.",
                 {},
                 static_cast<double>(aState.links->Controls().size()));
  const GrantCounts& grants = aState.grantManager.Counts();
  aPage.AddCounter("lacewing_control_grants_given_total",
                   "Cold-start grants given.",
                   {},
                   grants.given);
  aPage.AddCounter("lacewing_control_grants_unroutable_total",
                   "Wants and returns without a lease holder in reach.",
                   {},
                   grants.unroutable);
}

} // namespace

std::string MakeControlMetrics(const ControlState& aState)
{
  MetricsPage page;
  AddState(aState, page);
  AddStore(aState, page);
  AddPeers(aState.links->Counts(), page);
  return page.ToString();
}

} // namespace lacewing
