#include "support/BlockingHttp.h"
#include "support/FreePorts.h"
#include "support/Process.h"
#include "support/VersionDaemon.h"

#include <asio.hpp>
#include <doctest/doctest.h>

#include <algorithm>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

const std::string kExamples = LACEWING_SOURCE_DIR "/examples/";

/** The stand-in platform with two hosts whose versions the test sets. */
struct CtlFixture
{
  CtlFixture()
  {
    REQUIRE(WaitUntilListening(platformAt));
    for (int i = 1; i <= 2; ++i) {
      const nlohmann::json host = { { "address", ports.At(i).ToString() },
                                    { "zone", "bole" } };
      Send("PUT", platformAt, "/hosts/h" + std::to_string(i), host.dump());
    }
  }

  Process Start(std::vector<std::string> aArguments) const
  {
    aArguments.push_back("--platform=" + platformAt.ToString());
    return Process("lacewingctl", aArguments);
  }

  /** Runs lacewingctl to its end. */
  int Run(const std::vector<std::string>& aArguments,
          std::string* aOutput = nullptr) const
  {
    Process ctl = Start(aArguments);
    const auto code = ctl.Wait(20s);
    INFO(ctl.Output());
    REQUIRE(code.has_value());
    if (aOutput != nullptr) {
      *aOutput = ctl.Output();
    }
    return *code;
  }

  void SetVersions(std::uint64_t aVersion)
  {
    first.version = aVersion;
    second.version = aVersion;
  }

  FreePorts ports{ 3 };
  Endpoint platformAt = ports.At(0);
  VersionDaemon first{ ports.At(1) };
  VersionDaemon second{ ports.At(2) };
  Process platform{ "standin-platform",
                    { "--listen=" + platformAt.ToString() } };
};

} // namespace

// Guards against parts that work by themselves but not over HTTP: flags, exit
// codes, conditions, host addresses with ports.
TEST_CASE_FIXTURE(CtlFixture, "lacewingctl puts a sheet in force")
{
  CHECK(Run({ "plan", kExamples + "addis.csv" }) == 0);
  CHECK(GetJson(platformAt, "/calls")["put"] == 0);

  Process apply = Start({ "apply", kExamples + "addis.csv" });
  CHECK(!apply.Wait(1s).has_value());
  SetVersions(1);
  CHECK(apply.Wait(10s) == 0);
  CHECK(apply.Output().find("in force on 2 of 2 live hosts") !=
        std::string::npos);
  // Zones, hosts, two services, the head and the list of retired blobs.
  CHECK(GetJson(platformAt, "/calls")["put"] == 6);

  SetVersions(2);
  std::string output;
  CHECK(Run({ "--output=json", "zone", "out", "kirkos" }, &output) == 0);
  CHECK(nlohmann::json::parse(output)["version"] == 2);
  CHECK(Run({ "plan", kExamples + "sicily.csv" }) == 3);
  CHECK(Run({ "plan", "--allow-removal", kExamples + "sicily.csv" }) == 0);
  CHECK(Run({ "history" }, &output) == 0);
  CHECK(output.find("version 1 token") != std::string::npos);
  CHECK(Run({ "dump", ports.At(1).ToString() }, &output) == 0);
  CHECK(output.find("\"config_version\": 2") != std::string::npos);

  second.version = 1;
  CHECK(Run({ "status" }, &output) == 6);
  CHECK(output.find("still an older version") != std::string::npos);
  CHECK(Run({ "apply", "--timeout=1s", kExamples + "addis.csv" }, &output) ==
        6);
  CHECK(output.find("h2 (version 1)") != std::string::npos);
}

// Guards against a lost answer, a rate limit or an outage of the platform
// being reported as another result than the true one.
TEST_CASE_FIXTURE(CtlFixture, "lacewingctl bears faults of the platform")
{
  SetVersions(9);
  Send("PUT",
       platformAt,
       "/faults",
       R"({"lose_write_answers":6,"writes_per_second":20})");
  CHECK(Run({ "apply", kExamples + "addis.csv" }) == 0);
  CHECK(Run({ "status" }) == 0);
  Send("PUT", platformAt, "/faults", R"({"lose_write_answers":1})");
  CHECK(Run({ "zone", "leave", "bole" }) == 0);
  Send("PUT", platformAt, "/faults", R"({"down":true})");
  CHECK(Run({ "zone", "join", "bole", "--timeout=500ms" }) == 5);
  Send("PUT", platformAt, "/faults", R"({"down":false})");
  std::string output;
  CHECK(Run({ "status", "--output=json" }, &output) == 0);
  CHECK(nlohmann::json::parse(output)["version"] == 2);
}

// Guards against two operators who both believe that they were first.
TEST_CASE_FIXTURE(CtlFixture, "of two operators at once one gets a conflict")
{
  SetVersions(9);
  REQUIRE(Run({ "apply", kExamples + "addis.csv" }) == 0);
  // Slow calls make both read before either writes.
  Send("PUT", platformAt, "/faults", R"({"slow_ms":100})");
  Process one = Start({ "zone", "out", "bole" });
  Process two = Start({ "host", "out", "entry-03" });
  const int codes[] = { one.Wait(20s).value_or(-1),
                        two.Wait(20s).value_or(-1) };
  CHECK(std::min(codes[0], codes[1]) == 0);
  CHECK(std::max(codes[0], codes[1]) == 4);
  const std::string output = codes[0] == 4 ? one.Output() : two.Output();
  CHECK(output.find(codes[0] == 4 ? "changed: hosts" : "changed: zones") !=
        std::string::npos);
}

// Guards against a silent host that keeps the command beyond its time.
TEST_CASE_FIXTURE(CtlFixture, "a host that does not answer is named in time")
{
  SetVersions(9);
  const FreePorts silent(1);
  asio::io_context context;
  // Accepts connections and never answers.
  const asio::ip::tcp::acceptor acceptor(
    context, { asio::ip::make_address("127.0.0.1"), silent.Port(0) });
  const nlohmann::json host = { { "address", silent.At(0).ToString() },
                                { "zone", "bole" } };
  Send("PUT", platformAt, "/hosts/h3", host.dump());
  const auto start = std::chrono::steady_clock::now();
  std::string output;
  CHECK(Run({ "apply", kExamples + "addis.csv", "--timeout=500ms" }, &output) ==
        6);
  CHECK(std::chrono::steady_clock::now() - start < 1900ms);
  CHECK(output.find("is not in force on h3 (") != std::string::npos);
}

// Guards against scripts that cannot tell a usage error from other failures.
TEST_CASE_FIXTURE(CtlFixture, "usage errors have exit code 1 and help has 0")
{
  CHECK(Run({ "--help" }) == 0);
  CHECK(Run({ "apply", "--help" }) == 0);
  CHECK(Run({ "version" }) == 0);
  CHECK(Run({}) == 1);
  CHECK(Run({ "restart" }) == 1);
  CHECK(Run({ "--no-such-flag", "status" }) == 1);
  CHECK(Run({ "--output=xml", "status" }) == 1);
  CHECK(Run({ "--timeout=soon", "status" }) == 1);
  CHECK(Run({ "--max-removal=half", "status" }) == 1);
  CHECK(Run({ "--control_admin_port=99999", "status" }) == 1);
}
