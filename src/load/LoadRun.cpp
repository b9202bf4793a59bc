#include "load/LoadRun.h"

#include "core/MonotonicClock.h"
#include "load/LoadControl.h"
#include "load/LoadResult.h"
#include "load/LoadWorker.h"

#include <fstream>
#include <thread>
#include <utility>
#include <vector>

namespace lacewing {

namespace {

// Time for all threads to start before the first arrival.
constexpr std::chrono::milliseconds kStartDelay{ 50 };

Outcome<void> WriteRecords(
  const std::string& aFile,
  const LoadExperiment& aExperiment,
  const std::vector<std::unique_ptr<LoadWorker>>& aWorkers)
{
  std::ofstream file(aFile);
  for (const auto& worker : aWorkers) {
    for (const RequestRecord& record : worker->Records()) {
      file << ToJsonLine(record, aExperiment) << '\n';
    }
  }
  file.close();
  if (!file) {
    return Fail(ErrorKind::kUnavailable,
                "cannot write " + aFile,
                "choose a file in a folder with free space");
  }
  return outcome::success();
}

} // namespace

Outcome<nlohmann::json> RunLoad(
  const std::shared_ptr<const LoadExperiment>& aExperiment,
  const LoadRunOptions& aOptions)
{
  const MonotonicClock clock;
  const TimePoint start = clock.Now() + kStartDelay;
  std::vector<std::unique_ptr<LoadWorker>> workers;
  for (std::size_t i = 0; i < aOptions.threads; ++i) {
    workers.push_back(std::make_unique<LoadWorker>(
      aExperiment,
      clock,
      LoadWorker::Options{ i,
                           aOptions.threads,
                           aOptions.idPrefix,
                           !aOptions.recordsFile.empty(),
                           start }));
  }
  LoadControl control(aExperiment, workers, start);
  std::thread controlThread([&control] { control.Run(); });
  std::vector<std::thread> threads;
  for (const auto& worker : workers) {
    threads.emplace_back([&worker] { worker->Run(); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  control.Stop();
  controlThread.join();

  LoadResult result(aExperiment);
  for (const auto& worker : workers) {
    result.Merge(worker->Tallies(), worker->Slices());
  }
  if (!aOptions.recordsFile.empty()) {
    BOOST_OUTCOME_TRY(
      WriteRecords(aOptions.recordsFile, *aExperiment, workers));
  }
  nlohmann::json json = result.ToJson();
  json["threads"] = aOptions.threads;
  json["id_prefix"] = aOptions.idPrefix;
  json["timeline"] = control.Timeline();
  return json;
}

} // namespace lacewing
