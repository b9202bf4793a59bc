#ifndef LOAD_LOADWORKER_H
#define LOAD_LOADWORKER_H

#include "core/OneShotTimer.h"
#include "lacewing/Clock.h"
#include "load/ArrivalProcess.h"
#include "load/LoadExperiment.h"
#include "load/LoadTally.h"
#include "load/RequestFactory.h"
#include "load/RequestRecord.h"
#include "net/HttpClient.h"

#include <asio/io_context.hpp>

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace lacewing {

/**
 * One thread of open-loop load: it sends each request at its intended time,
 * whatever became of the earlier ones.
 */
class LoadWorker
{
public:
  struct Options
  {
    std::size_t thread = 0;
    std::size_t threads = 1;
    std::string idPrefix;
    bool keepRecords = false;
    TimePoint start;
  };

  LoadWorker(std::shared_ptr<const LoadExperiment> aExperiment,
             const Clock& aClock,
             const Options& aOptions);

  /** Returns when every request has ended. */
  void Run();

  /** May be called from any thread. */
  void SetReady(std::size_t aEntry, bool aReady);

  /** For each phase a tally of each kind; to be read after Run. */
  const std::vector<std::vector<LoadTally>>& Tallies() const
  {
    return tallies_;
  }
  /** A tally of each slice of the experiment; to be read after Run. */
  const std::vector<LoadTally>& Slices() const { return slices_; }
  const std::vector<RequestRecord>& Records() const { return records_; }

private:
  struct EntryState
  {
    bool ready = true;
    TimePoint avoidedUntil{};
  };

  void StartPhase(std::size_t aPhase);
  void DrawNext();
  /** Ends Run when no arrival and no call is left. */
  void StopWhenDone();
  void WaitForNext();
  void SendDue();
  void SendOne(TimePoint aIntended, std::size_t aPhase);
  void Send(const std::shared_ptr<LoadRequest>& aRequest);
  void OnResult(const std::shared_ptr<LoadRequest>& aRequest,
                const HttpCallResult& aResult);
  LoadTally& SliceOf(const LoadRequest& aRequest);
  std::size_t ChooseEntry();

  const std::shared_ptr<const LoadExperiment> experiment_;
  const Clock& clock_;
  const Options options_;
  const std::size_t maxInFlight_;
  asio::io_context context_;
  HttpClient client_;
  OneShotTimer timer_;
  std::mt19937_64 engine_;
  RequestFactory factory_;
  std::vector<EntryState> entries_;
  std::size_t phase_ = 0;
  TimePoint phaseStart_;
  std::unique_ptr<ArrivalProcess> arrivals_;
  TimePoint next_;
  std::size_t inFlight_ = 0;
  std::vector<std::vector<LoadTally>> tallies_;
  std::vector<LoadTally> slices_;
  std::vector<RequestRecord> records_;
};

} // namespace lacewing

#endif // LOAD_LOADWORKER_H
