#include "support/BlockingHttp.h"
#include "support/FreePorts.h"
#include "support/Process.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

struct LoadFixture
{
  LoadFixture() { REQUIRE(WaitUntilListening(admin)); }
  ~LoadFixture() { std::filesystem::remove_all(folder); }

  std::string File(const std::string& aName) { return folder / aName; }

  /** Runs the load tool on the target and returns its results. */
  nlohmann::json Run(std::vector<std::string> aArguments)
  {
    aArguments.push_back("--direct");
    aArguments.push_back("--json=" + File("result.json"));
    aArguments.push_back("--records=" + File("records"));
    Process load("lacewing-load", aArguments);
    const std::optional<int> code = load.Wait(30s);
    INFO(load.Output());
    CHECK(code == 0);
    return nlohmann::json::parse(std::ifstream(File("result.json")))["total"];
  }

  FreePorts ports{ 2 };
  Endpoint at = ports.At(0);
  Endpoint admin = ports.At(1);
  Process target{ "standin-target",
                  { "--listen=" + at.ToString(),
                    "--admin=" + admin.ToString(),
                    "--set=slots=1,service_ms=20,max_connections=1000" } };
  std::filesystem::path folder = std::filesystem::temp_directory_path() /
                                 ("lacewing-load-" + std::to_string(at.port));
  bool made = std::filesystem::create_directory(folder);
};

} // namespace

// Guards against latencies that leave out the time an arrival waits behind
// slow answers: one slot of 20 ms takes 50 requests a second, and 100 arrive.
TEST_CASE_FIXTURE(LoadFixture, "latency counts from the intended arrival")
{
  const nlohmann::json total = Run({ "--entries=" + at.ToString(),
                                     "--rate=100",
                                     "--duration_ms=1000",
                                     "--shape=even" });
  CHECK(total["sent"] == 100);
  CHECK(total["answered_whole"] == 100);
  CHECK(total["latency_ms"]["p50"] > 300);
  CHECK(total["latency_ms"]["p99"] > 800);
}

// Guards against records that a checker cannot match with the targets' runs,
// and against timeline events that are not sent.
TEST_CASE_FIXTURE(LoadFixture, "records match runs, timeline sets faults")
{
  std::ofstream(File("experiment.toml"))
    << "seed = 3\n[[entry]]\naddress = \"" << at.ToString()
    << "\"\n[[phase]]\nname = \"only\"\nduration_ms = 1000\nrate = 40\n"
    << "[[request]]\nmethod = \"POST\"\nbody_bytes = 300\n"
    << "answer_bytes = 2000\n[[timeline]]\nat_ms = 500\naddress = \""
    << admin.ToString() << "\"\nbody = '{\"fail_fast\":true}'\n";
  const nlohmann::json total =
    Run({ "--experiment=" + File("experiment.toml"), "--threads=2" });
  CHECK(total["answered_whole"] > 0);
  CHECK(total["reasons"]["status-500"] == total["errors"]);
  CHECK(total["errors"] > 0);
  Process report("lacewing-load",
                 { "report", File("result.json"), File("report.html") });
  CHECK(report.Wait(10s) == 0);
  CHECK(std::filesystem::file_size(File("report.html")) > 1000);
  std::set<std::string> ids;
  std::string line;
  for (std::ifstream records(File("records")); std::getline(records, line);) {
    ids.insert(nlohmann::json::parse(line)["id"].get<std::string>());
  }
  CHECK(ids.size() == total["sent"]);
  std::size_t runs = 0;
  std::istringstream lines(Get(admin, "/runs").response.body);
  while (std::getline(lines, line)) {
    const std::string path = nlohmann::json::parse(line)["path"];
    const std::size_t id = path.find("id=") + 3;
    runs += ids.count(path.substr(id, path.find('&', id) - id));
  }
  CHECK(runs == total["sent"]);
}
