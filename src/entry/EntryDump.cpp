#include "entry/EntryDump.h"

#include <nlohmann/json.hpp>

namespace lacewing {

namespace {

using nlohmann::json;

json DumpSettings(const EntrySettings& aSettings)
{
  return { { "deployment", aSettings.deployment },
           { "host", aSettings.host.value() },
           { "zone", aSettings.zone.value() },
           { "callers", aSettings.callers.ToString() },
           { "admin", aSettings.admin.ToString() },
           { "controld",
             aSettings.controld ? aSettings.controld->ToString() : "" },
           { "workers", aSettings.workers },
           { "max_body", aSettings.limits.maxBody.value() },
           { "max_answer", aSettings.limits.maxAnswer.value() },
           { "max_buffered", aSettings.limits.maxBuffered.value() },
           { "drain_delay_ms", aSettings.drainDelay.count() },
           { "strategy", aSettings.strategy } };
}

/** What the workers together see of one target. */
struct TargetSums
{
  std::uint32_t inFlight = 0;
  std::uint32_t wanted = 0;
  InstanceId instance;
};

using SumMap = std::map<TargetId, TargetSums>;

SumMap SumObservations(const EntryState& aState)
{
  SumMap sums;
  for (const WorkerReport& report : aState.reports) {
    for (const TargetObservation& seen : report.observations) {
      TargetSums& target = sums[seen.target];
      target.inFlight += seen.inFlight.value();
      target.wanted += seen.wanted.value();
      target.instance = seen.instance;
    }
  }
  return sums;
}

json DumpService(const ServiceRoute& aRoute,
                 const SumMap& aSums,
                 const EntryState& aState)
{
  json targets = json::array();
  for (const TargetRoute& target : aRoute.targets) {
    const auto found = aSums.find(target.id);
    const TargetSums sums = found == aSums.end() ? TargetSums() : found->second;
    const auto granted = aState.granted.find(target.id);
    targets.push_back(
      { { "id", target.id.value() },
        { "endpoint", target.endpoint.ToString() },
        { "zone", target.zone.value() },
        { "phase", ToString(target.phase) },
        { "epoch", target.epoch.value() },
        { "instance", sums.instance.value() },
        { "granted",
          granted == aState.granted.end() ? 0 : granted->second.value() },
        { "in_flight", sums.inFlight },
        { "waiting", sums.wanted } });
  }
  return { { "slots", aRoute.slots.value() },
           { "connections", aRoute.connections.value() },
           { "deadline_ms", aRoute.deadline.count() },
           { "targets", targets } };
}

json DumpWorkers(const EntryState& aState)
{
  json workers = json::array();
  for (const WorkerReport& report : aState.reports) {
    workers.push_back({ { "version", report.version.value() },
                        { "open_requests", report.openRequests },
                        { "buffered_bytes", report.buffered.value() },
                        { "stopped", report.stopped } });
  }
  return workers;
}

} // namespace

std::string MakeEntryDump(const EntrySettings& aSettings,
                          const EntryState& aState)
{
  json services = json::object();
  ConfigVersion version;
  if (aState.snapshot) {
    version = aState.snapshot->version;
    const SumMap sums = SumObservations(aState);
    for (const auto& [id, route] : aState.snapshot->services) {
      services[id.value()] = DumpService(*route, sums, aState);
    }
  }
  const json dump = { { "role", "entryd" },
                      { "release", LACEWING_VERSION },
                      { "settings", DumpSettings(aSettings) },
                      { "version", version.value() },
                      { "ready", aState.Ready() },
                      { "stopping", aState.stopping },
                      { "controld_connected", aState.controldConnected },
                      { "workers", DumpWorkers(aState) },
                      { "services", services } };
  // Names come from other hosts and need not be valid UTF-8.
  return dump.dump(1, ' ', false, json::error_handler_t::replace) + "\n";
}

} // namespace lacewing
