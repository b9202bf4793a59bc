#include "core/Log.h"
#include "core/MonotonicClock.h"
#include "flags/ProgramFlags.h"
#include "standin/Platform.h"
#include "standin/RunUntilSignal.h"

#include <absl/flags/flag.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:7000", "address and port");
ABSL_FLAG(double, reads_per_second, 2000, "reads and watches allowed");
ABSL_FLAG(double, writes_per_second, 400, "writes and deletions allowed");
ABSL_FLAG(std::uint32_t,
          host_list_lag_ms,
          0,
          "time until GET /hosts shows a change");

int main(int aCount, char** aArguments)
{
  using namespace lacewing;
  lacewing::ParseProgramFlags(
    "standin-platform",
    "Stand-in for the platform's object store and host list.",
    aCount,
    aArguments);
  StartLogging(LogLevel::kInfo);

  PlatformFaults faults;
  faults.readsPerSecond = absl::GetFlag(FLAGS_reads_per_second);
  faults.writesPerSecond = absl::GetFlag(FLAGS_writes_per_second);
  faults.hostListLag =
    std::chrono::milliseconds(absl::GetFlag(FLAGS_host_list_lag_ms));

  const MonotonicClock clock;
  asio::io_context context;
  const Outcome<Endpoint> endpoint =
    Endpoint::Parse(absl::GetFlag(FLAGS_listen));
  if (!endpoint) {
    Log(
      LogLevel::kError, "start", { { "error", endpoint.error().ToString() } });
    return 2;
  }
  const auto platform =
    Platform::Make(context, clock, endpoint.value(), faults);
  if (!platform) {
    Log(
      LogLevel::kError, "start", { { "error", platform.error().ToString() } });
    return 1;
  }
  Log(LogLevel::kInfo,
      "listening",
      { { "address", endpoint.value().ToString() } });
  RunUntilSignal(context);
  return 0;
}
