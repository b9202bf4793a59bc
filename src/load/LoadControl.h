#ifndef LOAD_LOADCONTROL_H
#define LOAD_LOADCONTROL_H

#include "lacewing/Clock.h"
#include "load/LoadExperiment.h"
#include "load/LoadWorker.h"
#include "net/HttpClient.h"

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <memory>
#include <vector>

namespace lacewing {

/**
 * The load tool's control thread: sends the requests of the timeline and asks
 * entry hosts whether they are ready, as the platform's balancer does.
 */
class LoadControl
{
public:
  LoadControl(std::shared_ptr<const LoadExperiment> aExperiment,
              const std::vector<std::unique_ptr<LoadWorker>>& aWorkers,
              TimePoint aStart);

  /** Returns after Stop. */
  void Run();

  /** May be called from any thread. */
  void Stop();

  /** What became of the timeline; to be read after Run. */
  const nlohmann::json& Timeline() const { return timeline_; }

private:
  void ScheduleEvent(const TimelineEvent& aEvent);
  void SendEvent(const TimelineEvent& aEvent);
  void PollReady(std::size_t aEntry);

  const std::shared_ptr<const LoadExperiment> experiment_;
  const std::vector<std::unique_ptr<LoadWorker>>& workers_;
  const TimePoint start_;
  asio::io_context context_;
  HttpClient client_;
  nlohmann::json timeline_ = nlohmann::json::array();
};

} // namespace lacewing

#endif // LOAD_LOADCONTROL_H
