#include "platform/SettingsWatch.h"
#include "support/RunUntil.h"
#include "support/TempFile.h"

#include <doctest/doctest.h>

#include <csignal>
#include <fstream>
#include <optional>
#include <string>

using namespace lacewing;
using namespace lacewing::platform;

namespace {

std::string Settings(const std::string& aRatio, const std::string& aGrace)
{
  return R"({"node":"h","ip":"10.1.0.1","zone":"z","internal_ports":[7720],
   "listen":{"front":"10.1.0.1:8161","ready":"10.1.0.1:8167"},
   "platform":{"address":"10.2.0.1:8169"},"bounds":{"grace_s":)" +
         aGrace + R"(,"retry_budget_ratio":)" + aRatio + "}}";
}

} // namespace

// Guards against a reload that replaces active settings by zeros or defaults,
// and against a start that fails because of a number which has a default.
TEST_CASE("odd settings: a reload with an odd number keeps the active ones")
{
  const TempFile file(Settings("0.2", "6"));
  asio::io_context context(1);
  std::optional<HostOptions> active;
  int reloads = 0;
  SettingsWatch watch(context, file.Path(), [&](const BootSettings& aNew) {
    active = aNew.host;
    ++reloads;
  });
  const std::pair<const char*, const char*> odd[] = {
    { "\"0.2\"", "6" }, { "[0.2]", "6" },   { "null", "6" }, { "-1", "6" },
    { "1e999", "6" },   { "0.2", "\"6\"" }, { "0.2", "-6" }, { "0.2", "tru" },
  };
  for (const auto& [ratio, grace] : odd) {
    CAPTURE(ratio);
    CAPTURE(grace);
    const std::string text = Settings(ratio, grace);
    if (BootSettings::Parse(text)) {
      CHECK(BootSettings::Parse(text).value().host.gateway.retries.ratio >= 0);
    }
    std::ofstream(file.Path()) << text;
    std::raise(SIGHUP);
    context.run_for(std::chrono::milliseconds(20));
    CHECK(reloads == 0);
  }
  std::ofstream(file.Path()) << Settings("0.3", "1e18");
  std::raise(SIGHUP);
  REQUIRE(RunUntil(context, [&] { return reloads == 1; }));
  CHECK(active->gateway.retries.ratio == doctest::Approx(0.3));
  CHECK(active->gracePeriod == std::chrono::hours(24));
}
