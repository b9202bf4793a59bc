// Measures what one entryd adds: sends requests at a steady rate, in turn
// directly to a target and through the entryd, and prints both latencies and
// the entryd's requests per second of CPU time. bench/hop_cost.sh starts it.
#include "core/MonotonicClock.h"
#include "metrics/LatencyHistogram.h"
#include "net/HttpClient.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>
#include <vector>

ABSL_FLAG(unsigned, ports, 0, "print so many free ports and exit");
ABSL_FLAG(std::string, direct, "", "endpoint of the target");
ABSL_FLAG(std::string, entry, "", "endpoint of the entryd");
ABSL_FLAG(std::string, service, "s", "service at the entryd");
ABSL_FLAG(int, pid, 0, "process id of the entryd");
ABSL_FLAG(unsigned, rate, 1000, "requests a second on each way");
ABSL_FLAG(unsigned, seconds, 10, "length of the measurement");
ABSL_FLAG(unsigned, body, 0, "bytes of each request body; 0 sends GET");

namespace lacewing {

namespace {

void PrintFreePorts(unsigned aCount)
{
  asio::io_context context;
  std::vector<asio::ip::tcp::acceptor> held;
  for (unsigned i = 0; i < aCount; ++i) {
    held.emplace_back(
      context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    std::cout << held.back().local_endpoint().port() << '\n';
  }
}

/** CPU time that a process has used, from /proc. */
Duration CpuTime(int aPid)
{
  std::ifstream file("/proc/" + std::to_string(aPid) + "/stat");
  std::string text;
  std::getline(file, text);
  // Fields 14 and 15 are user and system time; the name in field 2 may hold
  // blanks, so counting starts behind its bracket.
  std::istringstream rest(text.substr(text.rfind(')') + 1));
  std::string skipped;
  constexpr int kFieldsBetween = 11;
  for (int i = 0; i < kFieldsBetween; ++i) {
    rest >> skipped;
  }
  long user = 0;
  long system = 0;
  rest >> user >> system;
  return std::chrono::nanoseconds(std::chrono::seconds(1)) * (user + system) /
         sysconf(_SC_CLK_TCK);
}

/** One of the two ways: where requests go and how long they take. */
struct Way
{
  const char* name;
  Endpoint endpoint;
  std::string target;
  LatencyHistogram latency;
  std::uint64_t failed = 0;
};

class HopCost
{
public:
  HopCost(Way aDirect, Way aThroughEntry, unsigned aBody)
    : ways_{ std::move(aDirect), std::move(aThroughEntry) }
    , timer_(context_)
  {
    if (aBody > 0) {
      body_ = std::make_shared<const std::string>(aBody, 'b');
    }
  }

  void Run(unsigned aRate, std::chrono::seconds aTime)
  {
    start_ = clock_.Now();
    due_ = start_;
    end_ = start_ + aTime;
    // Both ways get their request at the same rate but half a step apart, so
    // that they see the same machine and not each other.
    step_ = Duration(std::chrono::seconds(1)) / (2 * aRate);
    Next();
    context_.restart();
    context_.run();
  }

  void ForgetResults()
  {
    for (Way& way : ways_) {
      way.latency = LatencyHistogram();
      way.failed = 0;
    }
  }

  const Way& Direct() const { return ways_[0]; }
  const Way& ThroughEntry() const { return ways_[1]; }

private:
  void Next()
  {
    const TimePoint now = clock_.Now();
    while (due_ <= now && due_ < end_) {
      Send(ways_[sent_++ % 2], due_);
      due_ += step_;
    }
    if (due_ >= end_) {
      return;
    }
    timer_.expires_at(
      std::chrono::time_point_cast<std::chrono::steady_clock::duration>(due_));
    timer_.async_wait([this](const asio::error_code&) { Next(); });
  }

  // Latency counts from the time when the request was due.
  void Send(Way& aWay, TimePoint aDue)
  {
    HttpCall call;
    call.endpoint = aWay.endpoint;
    call.target = aWay.target;
    call.method = body_ ? "POST" : "GET";
    call.body = body_;
    client_.Start(std::move(call), [this, &aWay, aDue](HttpCallResult aResult) {
      if (aResult.end == HttpCallEnd::kAnswered &&
          aResult.response.status == 200) {
        aWay.latency.Add(clock_.Now() - aDue);
      } else {
        ++aWay.failed;
      }
    });
  }

  MonotonicClock clock_;
  asio::io_context context_{ 1 };
  HttpClient client_{ context_, {} };
  Way ways_[2];
  asio::steady_timer timer_;
  std::shared_ptr<const std::string> body_;
  TimePoint start_;
  TimePoint due_;
  TimePoint end_;
  Duration step_{ 0 };
  std::uint64_t sent_ = 0;
};

double Milliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

void Print(const Way& aWay)
{
  std::printf("%-8s requests %8llu failed %llu  p50 %.3f ms  p90 %.3f ms  "
              "p99 %.3f ms\n",
              aWay.name,
              static_cast<unsigned long long>(aWay.latency.Count()),
              static_cast<unsigned long long>(aWay.failed),
              Milliseconds(aWay.latency.Quantile(0.5)),
              Milliseconds(aWay.latency.Quantile(0.9)),
              Milliseconds(aWay.latency.Quantile(0.99)));
}

Way MakeWay(const char* aName,
            const std::string& aEndpoint,
            std::string aTarget)
{
  Way way;
  way.name = aName;
  way.endpoint = Endpoint::Parse(aEndpoint).value();
  way.target = std::move(aTarget);
  return way;
}

void Measure()
{
  HopCost bench(MakeWay("direct", absl::GetFlag(FLAGS_direct), "/x"),
                MakeWay("entryd",
                        absl::GetFlag(FLAGS_entry),
                        "/" + absl::GetFlag(FLAGS_service) + "/x"),
                absl::GetFlag(FLAGS_body));
  const unsigned rate = absl::GetFlag(FLAGS_rate);
  // Opens the connections.
  bench.Run(rate, std::chrono::seconds(2));
  bench.ForgetResults();
  const int pid = absl::GetFlag(FLAGS_pid);
  const Duration cpuBefore = CpuTime(pid);
  bench.Run(rate, std::chrono::seconds(absl::GetFlag(FLAGS_seconds)));
  const Duration cpu = CpuTime(pid) - cpuBefore;
  Print(bench.Direct());
  Print(bench.ThroughEntry());
  const LatencyHistogram& direct = bench.Direct().latency;
  const LatencyHistogram& through = bench.ThroughEntry().latency;
  std::printf("added    p50 %.3f ms  p99 %.3f ms\n",
              Milliseconds(through.Quantile(0.5) - direct.Quantile(0.5)),
              Milliseconds(through.Quantile(0.99) - direct.Quantile(0.99)));
  std::printf("entryd   %.0f requests per second of CPU time\n",
              static_cast<double>(through.Count()) * 1000 / Milliseconds(cpu));
}

} // namespace

} // namespace lacewing

int main(int aCount, char** aArguments)
{
  absl::ParseCommandLine(aCount, aArguments);
  if (const unsigned ports = absl::GetFlag(FLAGS_ports); ports > 0) {
    lacewing::PrintFreePorts(ports);
    return 0;
  }
  lacewing::Measure();
  return 0;
}
