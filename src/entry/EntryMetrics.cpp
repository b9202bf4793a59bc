#include "entry/EntryMetrics.h"

#include "metrics/MetricsPage.h"

namespace lacewing {

namespace {

void AddGauges(const EntryState& aState, MetricsPage& aPage)
{
  for (const WorkerReport& report : aState.reports) {
    const MetricLabels worker = { { "worker",
                                    std::to_string(report.worker.value()) } };
    aPage.AddGauge("lacewing_open_requests",
                   "Requests that wait or are in progress.",
                   worker,
                   static_cast<double>(report.openRequests));
    aPage.AddGauge("lacewing_buffered_bytes",
                   "Bodies and answers held.",
                   worker,
                   static_cast<double>(report.buffered.value()));
    aPage.AddGauge("lacewing_worker_snapshot_version",
                   "Configuration version in force at the worker.",
                   worker,
                   static_cast<double>(report.version.value()));
    aPage.AddCounter("lacewing_callers_gone_total",
                     "Callers that closed before their answer.",
                     worker,
                     report.callersGone);
  }
  aPage.AddGauge("lacewing_snapshot_version",
                 "Configuration version in force; 0 for none.",
                 {},
                 aState.snapshot
                   ? static_cast<double>(aState.snapshot->version.value())
                   : 0);
  aPage.AddCounter("lacewing_bad_frames_total",
                   "Frames of controld that were refused.",
                   {},
                   aState.badFrames);
  aPage.AddCounter("lacewing_unknown_frames_total",
                   "Frames of controld of an unknown kind.",
                   {},
                   aState.unknownFrames);
  aPage.AddGauge("lacewing_controld_connected",
                 "1 while the connection to controld is open.",
                 {},
                 aState.controldConnected ? 1 : 0);
}

} // namespace

std::string MakeEntryMetrics(const EntryState& aState)
{
  std::map<AnswerKey, std::uint64_t> answers;
  LatencyHistogram latency;
  LatencyHistogram added;
  for (const WorkerReport& report : aState.reports) {
    for (const auto& [key, count] : report.answers) {
      answers[key] += count;
    }
    latency.Merge(report.latency);
    added.Merge(report.addedLatency);
  }
  MetricsPage page;
  for (const auto& [key, count] : answers) {
    page.AddCounter(
      "lacewing_requests_total",
      "Answered requests.",
      { { "outcome", ToString(key.disposition) }, { "reason", key.reason } },
      count);
  }
  page.AddHistogram("lacewing_request_seconds",
                    "Time from arrival to a target's answer.",
                    {},
                    latency);
  page.AddHistogram("lacewing_added_seconds",
                    "The same without the time spent at the target.",
                    {},
                    added);
  AddGauges(aState, page);
  return page.ToString();
}

} // namespace lacewing
