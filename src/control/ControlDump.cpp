#include "control/ControlDump.h"

#include "control/ControlState.h"

#include <nlohmann/json.hpp>

namespace lacewing {

namespace {

using nlohmann::json;

json DumpMembers(const Clock& aClock, const MemberTable& aMembers)
{
  json members = json::array();
  for (const auto& [host, member] : aMembers.All()) {
    json entry{ { "host", host.value() },
                { "address", member.entry.address },
                { "zone", member.entry.zone.value() },
                { "incarnation", member.entry.incarnation.value() },
                { "state", ToString(member.entry.state) },
                { "listed", member.listed } };
    if (member.lastHeard) {
      entry["last_heard_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(aClock.Now() -
                                                              *member.lastHeard)
          .count();
    }
    members.push_back(std::move(entry));
  }
  return members;
}

json DumpPhases(const PhaseTable& aPhases)
{
  json targets = json::object();
  for (const PhaseRecord& record : aPhases.All()) {
    targets[record.target.value()] = { { "epoch", record.epoch.value() },
                                       { "phase", ToString(record.phase) } };
  }
  return targets;
}

json DumpLeases(const ControlState& aState)
{
  json leases = json::object();
  for (const LeaseStateEntry& entry : aState.leaseDirectory.All()) {
    leases[std::to_string(entry.shard.value())] = {
      { "holder", entry.holder.value() },
      { "epoch", entry.epoch.value() },
      { "held_here", aState.leases.Holds(entry.shard) }
    };
  }
  return leases;
}

json DumpCounters(const ControlState& aState)
{
  const PeerCounts& peers = aState.links->Counts();
  const ConfigFollowerCounts& follower = aState.follower.Counts();
  const GrantCounts& grants = aState.grantManager.Counts();
  json counters{ { "malformed_frames", peers.malformed },
                 { "refused_hellos", peers.refused },
                 { "unknown_kinds", peers.unknownKinds },
                 { "stale_heads", follower.staleHeads },
                 { "invalid_objects",
                   follower.invalidObjects + aState.leases.InvalidObjects() },
                 { "failed_reads", follower.failedReads },
                 { "peer_configs_refused", aState.configExchange.Refused() },
                 { "grant_wants", grants.wants },
                 { "grants_given", grants.given },
                 { "grants_returned", grants.returns },
                 { "grants_unroutable", grants.unroutable } };
  for (const auto& [kind, sent] : peers.sent) {
    counters["sent"][kind] = { { "messages", sent.messages },
                               { "bytes", sent.bytes.value() } };
  }
  for (const auto& [kind, received] : peers.received) {
    counters["received"][kind] = received;
  }
  const StoreCallCounts& store = aState.store.Counts();
  for (std::size_t i = 0; i < kStoreCallNames.size(); ++i) {
    counters["store_calls"][kStoreCallNames[i]] = store.started[i];
    counters["store_failures"][kStoreCallNames[i]] = store.failed[i];
  }
  return counters;
}

} // namespace

std::string MakeControlDump(const Clock& aClock, const ControlState& aState)
{
  const json dump{ { "host", aState.settings.host.value() },
                   { "zone", aState.settings.zone.value() },
                   { "deployment", aState.settings.deployment },
                   { "incarnation",
                     aState.members.Self().entry.incarnation.value() },
                   { "config_version", aState.configs.Version().value() },
                   { "stopping", aState.stopping },
                   { "watching", aState.follower.Watching() },
                   { "peers_connected", aState.links->Controls().size() },
                   { "entries_connected", aState.links->Entries().size() },
                   { "members", DumpMembers(aClock, aState.members) },
                   { "leases", DumpLeases(aState) },
                   { "targets", DumpPhases(aState.phaseManager.Phases()) },
                   { "counters", DumpCounters(aState) } };
  // Ids come from peers as well and need not be valid UTF-8.
  return dump.dump(1, ' ', false, json::error_handler_t::replace) + "\n";
}

} // namespace lacewing
