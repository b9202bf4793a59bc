#ifndef TESTS_SUPPORT_CTLBENCH_H
#define TESTS_SUPPORT_CTLBENCH_H

#include "core/MonotonicClock.h"
#include "ctl/Ctl.h"
#include "support/MemoryHostReader.h"
#include "support/MemoryObjectStore.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace lacewing {

/** Runs commands of lacewingctl against a store and hosts in memory. */
class CtlBench
{
public:
  CtlBench()
  {
    store.hosts = {
      { HostId("h1"), "127.0.0.11", ZoneId("bole"), false },
      { HostId("h2"), "127.0.0.12:7099", ZoneId("arada"), false },
    };
    options.timeout = std::chrono::seconds(2);
  }
  ~CtlBench() { std::filesystem::remove(SheetPath()); }
  CtlBench(const CtlBench&) = delete;
  CtlBench& operator=(const CtlBench&) = delete;

  asio::io_context context;
  MonotonicClock clock;
  MemoryObjectStore store{ context };
  MemoryHostReader hosts{ context, store };
  std::mt19937_64 random{ 1 };
  CtlOptions options;

  CtlReport Run(const std::vector<std::string>& aArguments)
  {
    std::optional<CtlReport> report;
    Ctl ctl({ context, clock, store, hosts, random }, options, aArguments);
    context.restart();
    asio::post(context, [&] {
      ctl.Run([&](CtlReport aReport) {
        report = std::move(aReport);
        context.stop();
      });
    });
    context.run();
    return std::move(report).value();
  }

  /** Applies a sheet text with "plan" or "apply". */
  CtlReport RunSheet(const std::string& aCommand, const std::string& aText)
  {
    std::ofstream(SheetPath(), std::ios::binary) << aText;
    return Run({ aCommand, SheetPath() });
  }

  ConfigHead Head() const
  {
    return DecodeHead(store.objects.at(HeadKey()).body).value();
  }

private:
  std::string SheetPath() const
  {
    return (std::filesystem::temp_directory_path() /
            ("lacewing-ctl-test-" + std::to_string(getpid()) + ".csv"))
      .string();
  }
};

} // namespace lacewing

#endif // TESTS_SUPPORT_CTLBENCH_H
