#include "config/ConfigEncoder.h"
#include "config/ConfigKeys.h"
#include "config/HeadCodec.h"
#include "net/HttpClient.h"
#include "store/HttpObjectStore.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <asio.hpp>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <optional>
#include <string>
#include <thread>
#include <vector>

ABSL_FLAG(int, ports, 0, "print this many free ports and exit");
ABSL_FLAG(std::string,
          fleet,
          "",
          "file with a line \"pid admin\" per controld");
ABSL_FLAG(std::string, platform, "", "address of the stand-in platform");
ABSL_FLAG(int, seconds, 30, "length of the measurement");
ABSL_FLAG(int, services, 580, "services in the configuration");
ABSL_FLAG(int, targets, 26, "targets in each service");
ABSL_FLAG(int, changes, 5, "configuration changes that are timed");

namespace lacewing {

namespace {

using std::chrono::steady_clock;

/** One controld under measurement. */
struct Process
{
  int pid = 0;
  Endpoint admin;
};

/** What a process has used since its start. */
struct Usage
{
  double cpuSeconds = 0;
  double residentMegabytes = 0;
  double bytesSent = 0;
  double storeCalls = 0;
};

class Bench
{
public:
  Bench(std::vector<Process> aFleet, const Endpoint& aPlatform)
    : fleet_(std::move(aFleet))
    , client_(context_, {})
    , store_(context_, { aPlatform, std::chrono::seconds(10) })
  {
  }

  bool Run(int aSeconds, int aChanges)
  {
    if (!Write() || !AwaitVersion(std::chrono::seconds(60))) {
      std::puts("the first configuration did not come into force everywhere");
      return false;
    }
    // Connections and leases settle before the measurement.
    std::this_thread::sleep_for(std::chrono::seconds(10));
    const std::vector<Usage> before = Measure();
    std::this_thread::sleep_for(std::chrono::seconds(aSeconds));
    Print(before, Measure(), aSeconds);
    const std::vector<Usage> unchanged = Measure();
    for (int i = 0; i < aChanges; ++i) {
      const auto start = steady_clock::now();
      if (!Write() || !AwaitVersion(std::chrono::seconds(60))) {
        std::puts("  a change did not come into force everywhere in 60 s");
        return false;
      }
      std::printf(
        "  change %d in force everywhere after %.0f ms\n",
        i + 1,
        std::chrono::duration<double, std::milli>(steady_clock::now() - start)
          .count());
    }
    PrintChanges(unchanged, Measure(), aChanges);
    return true;
  }

private:
  template<class T, class Start>
  Outcome<T> Await(Start aStart)
  {
    std::optional<Outcome<T>> result;
    aStart([&](Outcome<T> aResult) { result = std::move(aResult); });
    while (!result) {
      context_.restart();
      context_.run_one();
    }
    return *std::move(result);
  }

  /** One service differs from version to version. */
  Configuration Make() const
  {
    Configuration configuration;
    configuration.zones[ZoneId("zone-0")] = { ZoneId("zone-0"), {} };
    for (int i = 0; i < absl::GetFlag(FLAGS_services); ++i) {
      auto service = std::make_shared<ServiceConfig>();
      service->id = ServiceId("service-" + std::to_string(i));
      service->slots = SlotCount(6);
      if (i == 0) {
        service->deadline =
          std::chrono::milliseconds(1000 + head_.version.value());
      }
      for (int j = 0; j < absl::GetFlag(FLAGS_targets); ++j) {
        service->targets.push_back(
          { TargetId(service->id.value() + ".target-" + std::to_string(j)),
            { "10.0." + std::to_string(i % 250) + "." + std::to_string(j),
              static_cast<std::uint16_t>(1000 + i) },
            ZoneId("zone-0"),
            Lifecycle::kInService });
      }
      std::sort(service->targets.begin(),
                service->targets.end(),
                [](const auto& aLeft, const auto& aRight) {
                  return aLeft.id < aRight.id;
                });
      configuration.services[service->id] = service;
    }
    return configuration;
  }

  bool Write()
  {
    const auto encoded = EncodeConfig(
      Make(),
      head_,
      WriteToken("bench-" + std::to_string(head_.version.value())));
    if (!encoded) {
      std::puts(encoded.error().ToString().c_str());
      return false;
    }
    for (const ObjectName& name : ChangedObjects(head_, encoded.value().head)) {
      const ObjectKey key = encoded.value().head.entries.at(name).key;
      const auto put = Await<ObjectTag>([&](auto aHandler) {
        store_.Put(key, encoded.value().blobs.at(name), {}, aHandler);
      });
      // The stand-in allows 400 writes/s.
      std::this_thread::sleep_for(std::chrono::milliseconds(4));
      if (!put) {
        std::puts(put.error().ToString().c_str());
        return false;
      }
    }
    head_ = encoded.value().head;
    const auto put = Await<ObjectTag>([&](auto aHandler) {
      store_.Put(HeadKey(), EncodeHead(head_).value(), { tag_ }, aHandler);
    });
    if (!put) {
      std::puts(put.error().ToString().c_str());
      return false;
    }
    tag_ = put.value();
    return true;
  }

  std::string Get(const Process& aProcess, const char* aPath)
  {
    HttpCall call;
    call.endpoint = aProcess.admin;
    call.target = aPath;
    call.idempotent = true;
    std::optional<HttpCallResult> result;
    client_.Start(call, [&](HttpCallResult aResult) { result = aResult; });
    while (!result) {
      context_.restart();
      context_.run_one();
    }
    return result->response.body;
  }

  /** The sum of all samples of a metric on a /metrics page. */
  static double Sum(const std::string& aPage, const std::string& aName)
  {
    double sum = 0;
    for (std::size_t at = aPage.find('\n' + aName); at != std::string::npos;
         at = aPage.find('\n' + aName, at + 1)) {
      const std::size_t end = aPage.find('\n', at + 1);
      sum += std::stod(aPage.substr(aPage.rfind(' ', end)));
    }
    return sum;
  }

  bool AwaitVersion(std::chrono::seconds aLimit)
  {
    const auto end = steady_clock::now() + aLimit;
    for (const Process& process : fleet_) {
      while (Sum(Get(process, "/metrics"), "lacewing_control_config_version") <
             static_cast<double>(head_.version.value())) {
        if (end < steady_clock::now()) {
          return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      }
    }
    return true;
  }

  std::vector<Usage> Measure()
  {
    std::vector<Usage> usages;
    for (const Process& process : fleet_) {
      const std::string folder = "/proc/" + std::to_string(process.pid);
      Usage usage;
      std::ifstream stat(folder + "/stat");
      std::string word;
      double user = 0;
      double system = 0;
      // Fields 14 and 15 of proc(5): user and system time in clock ticks.
      for (int field = 1; field <= 13; ++field) {
        stat >> word;
      }
      stat >> user >> system;
      usage.cpuSeconds =
        (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
      double pages = 0;
      std::ifstream(folder + "/statm") >> pages >> pages;
      usage.residentMegabytes =
        pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
      const std::string page = Get(process, "/metrics");
      usage.bytesSent = Sum(page, "lacewing_control_bytes_sent_total");
      usage.storeCalls = Sum(page, "lacewing_control_store_calls_total");
      usages.push_back(usage);
    }
    return usages;
  }

  static void PrintRow(const char* aName, std::vector<double> aValues)
  {
    std::sort(aValues.begin(), aValues.end());
    double sum = 0;
    for (const double value : aValues) {
      sum += value;
    }
    std::printf("  %-22s mean %10.3f  median %10.3f  highest %10.3f\n",
                aName,
                sum / static_cast<double>(aValues.size()),
                aValues[aValues.size() / 2],
                aValues.back());
  }

  static void Print(const std::vector<Usage>& aBefore,
                    const std::vector<Usage>& aAfter,
                    int aSeconds)
  {
    std::printf("%zu controlds, %d services with %d targets, per process:\n",
                aAfter.size(),
                absl::GetFlag(FLAGS_services),
                absl::GetFlag(FLAGS_targets));
    const auto rate = [&](double Usage::*aMember, double aFactor) {
      std::vector<double> values;
      for (std::size_t i = 0; i < aAfter.size(); ++i) {
        values.push_back((aAfter[i].*aMember - aBefore[i].*aMember) * aFactor /
                         aSeconds);
      }
      return values;
    };
    std::vector<double> memory;
    for (const Usage& usage : aAfter) {
      memory.push_back(usage.residentMegabytes);
    }
    PrintRow("CPU, % of a core", rate(&Usage::cpuSeconds, 100));
    PrintRow("resident, MB", memory);
    PrintRow("sent, KB/s", rate(&Usage::bytesSent, 1e-3));
    PrintRow("store calls/s", rate(&Usage::storeCalls, 1));
  }

  /** Includes the heartbeats during the changes. */
  static void PrintChanges(const std::vector<Usage>& aBefore,
                           const std::vector<Usage>& aAfter,
                           int aChanges)
  {
    std::vector<double> sent;
    for (std::size_t i = 0; i < aAfter.size(); ++i) {
      sent.push_back((aAfter[i].bytesSent - aBefore[i].bytesSent) * 1e-3 /
                     aChanges);
    }
    PrintRow("sent per change, KB", sent);
  }

  std::vector<Process> fleet_;
  asio::io_context context_;
  HttpClient client_;
  HttpObjectStore store_;
  ConfigHead head_;
  std::optional<ObjectTag> tag_;
};

void PrintPorts(int aCount)
{
  asio::io_context context;
  std::vector<asio::ip::tcp::acceptor> acceptors;
  for (int i = 0; i < aCount; ++i) {
    acceptors.emplace_back(
      context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    std::printf("%d\n", acceptors.back().local_endpoint().port());
  }
}

int Main()
{
  if (absl::GetFlag(FLAGS_ports) > 0) {
    PrintPorts(absl::GetFlag(FLAGS_ports));
    return 0;
  }
  std::vector<Process> fleet;
  std::ifstream lines(absl::GetFlag(FLAGS_fleet));
  Process process;
  std::string admin;
  while (lines >> process.pid >> admin) {
    process.admin = Endpoint::Parse(admin).value();
    fleet.push_back(process);
  }
  const auto platform = Endpoint::Parse(absl::GetFlag(FLAGS_platform));
  if (fleet.empty() || !platform) {
    std::fputs("run bench/control_scale.sh\n", stderr);
    return 1;
  }
  Bench bench(std::move(fleet), platform.value());
  return bench.Run(absl::GetFlag(FLAGS_seconds), absl::GetFlag(FLAGS_changes))
           ? 0
           : 1;
}

} // namespace

} // namespace lacewing

int main(int aCount, char** aArguments)
{
  absl::ParseCommandLine(aCount, aArguments);
  return lacewing::Main();
}
