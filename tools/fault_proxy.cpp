#include "core/Log.h"
#include "core/MonotonicClock.h"
#include "flags/ProgramFlags.h"
#include "standin/ProxyAdmin.h"
#include "standin/ProxyPair.h"
#include "standin/RunUntilSignal.h"

#include <absl/flags/flag.h>

ABSL_FLAG(std::vector<std::string>, listen, {}, "addresses to listen on");
ABSL_FLAG(std::vector<std::string>,
          to,
          {},
          "addresses to relay to, one for each address of --listen");
ABSL_FLAG(std::string, admin, "", "address and port of the admin pages");

namespace lacewing {

namespace {

Outcome<void> Run()
{
  const std::vector<std::string> listen = absl::GetFlag(FLAGS_listen);
  const std::vector<std::string> to = absl::GetFlag(FLAGS_to);
  if (listen.empty() || listen.size() != to.size()) {
    return Fail(ErrorKind::kInvalidArgument,
                "--listen and --to differ in length or are empty",
                "give each the same number of addresses");
  }
  const MonotonicClock clock;
  asio::io_context context;
  std::vector<std::unique_ptr<ProxyPair>> pairs;
  for (std::size_t i = 0; i < listen.size(); ++i) {
    BOOST_OUTCOME_TRY(const Endpoint from, Endpoint::Parse(listen[i]));
    BOOST_OUTCOME_TRY(const Endpoint target, Endpoint::Parse(to[i]));
    BOOST_OUTCOME_TRY(auto pair, ProxyPair::Make(context, clock, from, target));
    pairs.push_back(std::move(pair));
  }
  std::unique_ptr<ProxyAdmin> admin;
  if (const std::string text = absl::GetFlag(FLAGS_admin); !text.empty()) {
    BOOST_OUTCOME_TRY(const Endpoint endpoint, Endpoint::Parse(text));
    BOOST_OUTCOME_TRY(admin, ProxyAdmin::Make(context, endpoint, pairs));
  }
  Log(LogLevel::kInfo,
      "listening",
      { { "pairs", std::to_string(pairs.size()) } });
  RunUntilSignal(context);
  return outcome::success();
}

} // namespace

} // namespace lacewing

int main(int aCount, char** aArguments)
{
  lacewing::ParseProgramFlags("fault-proxy",
                              "TCP relay whose faults are set over HTTP.",
                              aCount,
                              aArguments);
  lacewing::StartLogging(lacewing::LogLevel::kInfo);
  const lacewing::Outcome<void> run = lacewing::Run();
  if (!run) {
    lacewing::Log(lacewing::LogLevel::kError,
                  "start",
                  { { "error", run.error().ToString() } });
    return 1;
  }
  return 0;
}
