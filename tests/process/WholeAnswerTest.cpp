#include "support/CheckedLoad.h"

#include <doctest/doctest.h>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

nlohmann::json Kind(double aWeight, unsigned aAnswerBytes)
{
  return { { "weight", aWeight },
           { "service", "ledger" },
           { "path", "/record" },
           { "answer_bytes", aAnswerBytes } };
}

/** Sizes up to 8 MiB, callers that give up, and deadlines that pass. */
nlohmann::json MixOfSizes()
{
  nlohmann::json mix = nlohmann::json::array();
  mix.push_back(Kind(600, 500));
  mix.push_back(Kind(200, 64U << 10U));
  mix.push_back(Kind(10, 1U << 20U));
  mix.push_back(Kind(1, 8U << 20U));
  nlohmann::json upload = Kind(100, 2000);
  upload["method"] = "POST";
  upload["body_bytes"] = 20000U;
  mix.push_back(upload);
  nlohmann::json cancelled = Kind(45, 30000);
  cancelled["timeout_ms"] = 4;
  mix.push_back(cancelled);
  nlohmann::json late = Kind(45, 30000);
  late["deadline_ms"] = 4;
  mix.push_back(late);
  return mix;
}

} // namespace

// Guards against an answer that belongs to another request or is cut short,
// with cancelled and late requests before it on the same connections (I4).
TEST_CASE("100 000 answers of mixed sizes are whole and their own")
{
  DeploymentOptions options;
  options.hosts = 3;
  options.targetProperties = "slots=12,service_time=lognormal,service_ms=3,"
                             "sigma=1,connect_ms=1,cold_ms=1000,cold_limit=2";
  options.serviceColumns = "12,200,GET HEAD,5 s,1 %,2,1 s,1 s";
  Deployment deployment(options);
  deployment.BringIntoService();
  CheckedLoad load(deployment, { { "mixed", 45000ms } }, 2300, MixOfSizes());
  const RunCheck check = load.Finish();
  CHECK(check.Passed());
  const nlohmann::json total = load.Total();
  MESSAGE(total.dump());
  CHECK(total["sent"] >= 100000);
  CHECK(total["mismatched"] == 0);
  CHECK(total["short"] == 0);
  // The callers that give up have to show, or the check proves less.
  CHECK(total["reasons"].value("no-answer-in-time", 0) > 100);
  CHECK(total["reasons"].value("timeout", 0) > 100);
  CHECK(total["answered_whole"] > 90000);
}
