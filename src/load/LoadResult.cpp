#include "load/LoadResult.h"

#include <array>
#include <utility>

namespace lacewing {

namespace {

constexpr std::array<std::pair<const char*, std::uint64_t LoadTally::*>, 8>
  kCounts{ {
    { "sent", &LoadTally::sent },
    { "answered_whole", &LoadTally::whole },
    { "mismatched", &LoadTally::mismatched },
    { "short", &LoadTally::shortened },
    { "not_run", &LoadTally::notRun },
    { "unknown", &LoadTally::unknown },
    { "errors", &LoadTally::errors },
    { "overrun", &LoadTally::overrun },
  } };

constexpr std::array<std::pair<const char*, double>, 4> kQuantiles{ {
  { "p50", 0.5 },
  { "p90", 0.9 },
  { "p99", 0.99 },
  { "p99.9", 0.999 },
} };

double Milliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

nlohmann::json QuantilesJson(const LatencyHistogram& aHistogram)
{
  nlohmann::json json;
  for (const auto& [name, share] : kQuantiles) {
    json[name] = Milliseconds(aHistogram.Quantile(share));
  }
  return json;
}

nlohmann::json TallyJson(const LoadTally& aTally)
{
  nlohmann::json json;
  for (const auto& [name, count] : kCounts) {
    json[name] = aTally.*count;
  }
  json["reasons"] = aTally.reasons;
  json["latency_ms"] = QuantilesJson(aTally.latency);
  json["latency_ms"]["max"] = Milliseconds(aTally.longest);
  json["all_latency_ms"] = QuantilesJson(aTally.allLatency);
  json["send_lag_ms"] = QuantilesJson(aTally.sendLag);
  return json;
}

} // namespace

LoadResult::LoadResult(std::shared_ptr<const LoadExperiment> aExperiment)
  : experiment_(std::move(aExperiment))
  , tallies_(experiment_->phases.size(),
             std::vector<LoadTally>(experiment_->kinds.size()))
  , slices_(experiment_->SliceCount())
{
}

void LoadResult::Merge(const std::vector<std::vector<LoadTally>>& aTallies,
                       const std::vector<LoadTally>& aSlices)
{
  for (std::size_t slice = 0; slice < slices_.size(); ++slice) {
    slices_[slice].Merge(aSlices[slice]);
  }
  for (std::size_t phase = 0; phase < tallies_.size(); ++phase) {
    for (std::size_t kind = 0; kind < tallies_[phase].size(); ++kind) {
      tallies_[phase][kind].Merge(aTallies[phase][kind]);
    }
  }
}

LoadTally LoadResult::PhaseTally(std::size_t aPhase) const
{
  LoadTally sum;
  for (const LoadTally& tally : tallies_[aPhase]) {
    sum.Merge(tally);
  }
  return sum;
}

LoadTally LoadResult::Total() const
{
  LoadTally sum;
  for (std::size_t phase = 0; phase < tallies_.size(); ++phase) {
    sum.Merge(PhaseTally(phase));
  }
  return sum;
}

nlohmann::json LoadResult::ToJson() const
{
  nlohmann::json phases = nlohmann::json::array();
  for (std::size_t phase = 0; phase < tallies_.size(); ++phase) {
    nlohmann::json entry = TallyJson(PhaseTally(phase));
    entry["name"] = experiment_->phases[phase].name;
    entry["rate"] = experiment_->phases[phase].rate;
    entry["duration_ms"] = Milliseconds(experiment_->phases[phase].duration);
    entry["kinds"] = nlohmann::json::array();
    for (std::size_t kind = 0; kind < tallies_[phase].size(); ++kind) {
      nlohmann::json part = TallyJson(tallies_[phase][kind]);
      part["service"] = experiment_->kinds[kind].service.value();
      part["method"] = experiment_->kinds[kind].method;
      part["path"] = experiment_->kinds[kind].path;
      entry["kinds"].push_back(std::move(part));
    }
    phases.push_back(std::move(entry));
  }
  nlohmann::json slices = nlohmann::json::array();
  for (const LoadTally& slice : slices_) {
    slices.push_back(TallyJson(slice));
  }
  return { { "slice_ms", Milliseconds(experiment_->settings.slice) },
           { "slices", std::move(slices) },
           { "seed", experiment_->settings.seed },
           { "phases", std::move(phases) },
           { "total", TallyJson(Total()) } };
}

std::string ToJsonLine(const RequestRecord& aRecord,
                       const LoadExperiment& aExperiment)
{
  const RequestKind& kind = aExperiment.kinds[aRecord.kind];
  const nlohmann::json json = {
    { "id", aRecord.id },
    { "phase", aExperiment.phases[aRecord.phase].name },
    { "service", kind.service.value() },
    { "method", kind.method },
    { "intended_ms", Milliseconds(aRecord.intended) },
    { "outcome", ToString(aRecord.answer.verdict) },
    { "reason", aRecord.answer.reason },
    { "status", aRecord.status },
    { "latency_ms", Milliseconds(aRecord.latency) },
  };
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace lacewing
