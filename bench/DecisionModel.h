#ifndef BENCH_DECISIONMODEL_H
#define BENCH_DECISIONMODEL_H

#include "DecisionFakeTarget.h"
#include "DecisionScenario.h"
#include "core/ManualClock.h"
#include "decision/RequestEngine.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <random>
#include <unordered_map>
#include <vector>

namespace lacewing {

/** Answer times of one run, sorted, and the requests without an answer. */
struct DecisionResult
{
  std::vector<Duration> latencies;
  std::size_t refused = 0;

  double Milliseconds(double aQuantile) const
  {
    if (latencies.empty()) {
      return 0;
    }
    const auto index =
      static_cast<std::size_t>(aQuantile * double(latencies.size() - 1));
    return std::chrono::duration<double, std::milli>(latencies[index]).count();
  }
};

/**
 * Runs engines of several entry hosts against fake targets on one manual
 * clock. Only what routing depends on is modelled: transit, slots, queues.
 */
class DecisionModel
{
public:
  DecisionModel(const DecisionScenario& aScenario, std::uint64_t aSeed)
    : scenario_(aScenario)
    , seed_(aSeed)
    , start_(clock_.Now())
  {
    MakeArrivals();
  }

  DecisionResult Run(const std::string& aStrategy)
  {
    SetUp(aStrategy);
    std::size_t next = 0;
    while (next < arrivals_.size() || !events_.empty()) {
      if (next < arrivals_.size() &&
          (events_.empty() || arrivals_[next].time <= events_.top().time)) {
        clock_.Set(arrivals_[next].time);
        Arrive(next++);
        continue;
      }
      const Event event = events_.top();
      events_.pop();
      clock_.Set(event.time);
      event.act();
    }
    std::sort(result_.latencies.begin(), result_.latencies.end());
    return result_;
  }

  /** All slots behind one queue that knows everything, in the own zone. */
  DecisionResult RunIdeal() const
  {
    std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>> free;
    for (unsigned i = 0; i < scenario_.targets * scenario_.slots; ++i) {
      free.push(start_);
    }
    DecisionResult result;
    for (const Arrival& arrival : arrivals_) {
      const TimePoint begin = std::max(free.top(), arrival.time);
      free.pop();
      free.push(begin + arrival.work);
      result.latencies.push_back(begin + arrival.work - arrival.time +
                                 2 * scenario_.nearTime);
    }
    std::sort(result.latencies.begin(), result.latencies.end());
    return result;
  }

private:
  struct Arrival
  {
    TimePoint time;
    Duration work;
    std::size_t host;
  };
  struct Event
  {
    TimePoint time;
    std::uint64_t order;
    std::function<void()> act;
    bool operator<(const Event& aOther) const
    {
      return std::tie(time, order) > std::tie(aOther.time, aOther.order);
    }
  };
  struct Host
  {
    std::unique_ptr<RequestEngine> engine;
    TimePoint timer = TimePoint::max();
  };

  void MakeArrivals()
  {
    std::mt19937_64 random(seed_);
    const double mean =
      std::chrono::duration<double>(scenario_.meanService).count();
    const double longer =
      scenario_.longEach > 0 ? 1 + 9.0 / scenario_.longEach : 1;
    const double rate =
      scenario_.load * scenario_.targets * scenario_.slots / (mean * longer);
    std::exponential_distribution<double> gap(1);
    std::exponential_distribution<double> service(1);
    const TimePoint end = start_ + scenario_.length;
    TimePoint time = start_;
    while (time < end) {
      const Duration since = time - start_ - scenario_.faultStart;
      const bool fault = since >= Duration(0) && since < scenario_.faultLength;
      const double now = fault ? rate * scenario_.burst : rate;
      time += Seconds(gap(random) / now);
      const bool isLong =
        scenario_.longEach > 0 && random() % scenario_.longEach == 0;
      const double work = mean * (0.2 + 0.8 * service(random));
      arrivals_.push_back({ time,
                            Seconds(isLong ? 10 * work : work),
                            random() % scenario_.hosts });
    }
  }

  static Duration Seconds(double aSeconds)
  {
    return Duration(static_cast<Duration::rep>(aSeconds * 1e9));
  }

  void SetUp(const std::string& aStrategy)
  {
    clock_.Set(start_);
    ServiceRoute route;
    route.id = service_;
    route.slots = SlotCount(scenario_.slots);
    route.connections = ConnectionCount(160 / scenario_.hosts);
    route.idempotentMethods = { "GET" };
    for (unsigned i = 0; i < scenario_.targets; ++i) {
      targets_.emplace_back(SlotCount(scenario_.slots), scenario_.reportPeriod);
      TargetRoute target;
      target.id = TargetId("target-" + std::to_string(100 + i));
      target.zone = Zone(i);
      target.phase = TargetPhase::kWarm;
      indices_[target.id] = i;
      route.targets.push_back(target);
    }
    const auto shared = std::make_shared<const ServiceRoute>(route);
    for (unsigned i = 0; i < scenario_.hosts; ++i) {
      EngineOptions options;
      options.strategy = aStrategy;
      options.seed = seed_ * 1000 + i;
      hosts_.push_back({ RequestEngine::Make(clock_, options).value() });
      auto snapshot = std::make_shared<RoutingSnapshot>();
      snapshot->ownZone = HostZone(i);
      snapshot->services[service_] = shared;
      hosts_[i].engine->OnSnapshot(snapshot);
    }
    if (scenario_.slowness != 1) {
      At(start_ + scenario_.faultStart,
         [this] { targets_[0].SetSlowness(scenario_.slowness); });
      At(start_ + scenario_.faultStart + scenario_.faultLength,
         [this] { targets_[0].SetSlowness(1); });
    }
  }

  ZoneId Zone(std::size_t aIndex) const
  {
    return ZoneId("zone-" + std::to_string(aIndex % scenario_.zones));
  }

  ZoneId HostZone(std::size_t aIndex) const
  {
    return Zone(aIndex % scenario_.hostZones);
  }

  void At(TimePoint aTime, std::function<void()> aAct)
  {
    events_.push({ aTime, ++order_, std::move(aAct) });
  }

  void Arrive(std::size_t aIndex)
  {
    RequestInfo info;
    info.id = RequestId(aIndex);
    info.service = service_;
    info.method = "POST";
    const std::size_t host = arrivals_[aIndex].host;
    Act(host, hosts_[host].engine->OnRequest(info));
  }

  void Act(std::size_t aHost, const Actions& aActions)
  {
    for (const Action& action : aActions) {
      if (const auto* send = std::get_if<SendAttempt>(&action)) {
        Send(aHost, *send);
      } else if (const auto* finish = std::get_if<FinishRequest>(&action)) {
        if (finish->reason == FinishReason::kAnswered) {
          result_.latencies.push_back(clock_.Now() -
                                      arrivals_[finish->request.value()].time);
        } else {
          ++result_.refused;
        }
      }
    }
    const auto timer = hosts_[aHost].engine->NextTimer();
    if (timer && *timer < hosts_[aHost].timer) {
      hosts_[aHost].timer = *timer;
      At(*timer, [this, aHost, time = *timer] {
        if (hosts_[aHost].timer == time) {
          hosts_[aHost].timer = TimePoint::max();
          Act(aHost, hosts_[aHost].engine->OnTimer());
        }
      });
    }
  }

  void Send(std::size_t aHost, const SendAttempt& aSend)
  {
    const std::size_t target = indices_.at(aSend.target);
    const Duration transit =
      HostZone(aHost) == Zone(target) ? scenario_.nearTime : scenario_.farTime;
    const std::uint64_t job = ++order_;
    jobs_[job] = { aHost, target, aSend.attempt, transit };
    const Duration work = arrivals_[aSend.request.value()].work;
    At(clock_.Now() + transit, [this, job, target, work] {
      Start(targets_[target].Add({ job, work }));
    });
  }

  void Start(const std::optional<DecisionFakeTarget::Work>& aWork)
  {
    if (aWork) {
      At(clock_.Now() + aWork->time, [this, id = aWork->id] { End(id); });
    }
  }

  void End(std::uint64_t aJob)
  {
    const Job job = jobs_.at(aJob);
    jobs_.erase(aJob);
    Start(targets_[job.target].End());
    AttemptAnswer answer;
    answer.reportedLoad = targets_[job.target].Report(clock_.Now());
    At(clock_.Now() + job.transit, [this, job, answer] {
      Act(job.host, hosts_[job.host].engine->OnAnswer(job.attempt, answer));
    });
  }

  struct Job
  {
    std::size_t host = 0;
    std::size_t target = 0;
    AttemptId attempt;
    Duration transit{ 0 };
  };

  DecisionScenario scenario_;
  std::uint64_t seed_;
  ManualClock clock_;
  TimePoint start_;
  ServiceId service_{ "service" };
  std::vector<Arrival> arrivals_;
  std::vector<DecisionFakeTarget> targets_;
  std::vector<Host> hosts_;
  std::unordered_map<TargetId, std::size_t> indices_;
  std::unordered_map<std::uint64_t, Job> jobs_;
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
  DecisionResult result_;
};

} // namespace lacewing

#endif // BENCH_DECISIONMODEL_H
