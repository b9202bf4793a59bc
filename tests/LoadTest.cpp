#include "load/AnswerBody.h"
#include "load/ArrivalProcess.h"
#include "load/CheckedAnswer.h"
#include "load/LoadExperiment.h"

#include <doctest/doctest.h>

using namespace lacewing;
using namespace std::chrono_literals;

namespace {

ExpectedAnswer Expected()
{
  return { "GET", "/a?id=1&bytes=100", nullptr, false };
}

HttpCallResult Answered(const std::string& aOutcome, const std::string& aBody)
{
  HttpCallResult result;
  result.end = HttpCallEnd::kAnswered;
  result.response.fields.Add("Lacewing-Outcome", aOutcome);
  result.response.body = aBody;
  return result;
}

Verdict VerdictOn(const HttpCallResult& aResult)
{
  return CheckAnswer(aResult, Expected()).verdict;
}

} // namespace

// Guards against a load tool that counts foreign, short or unproved answers as
// good ones; the checks of invariants I4 and I5 rest on these verdicts.
TEST_CASE("every end of a request gets its verdict")
{
  const std::string body = MakeAnswerBody("GET", "/a?id=1&bytes=100", "");
  const std::string other = MakeAnswerBody("GET", "/a?id=2&bytes=100", "");
  REQUIRE(body.size() == 100);
  CHECK(VerdictOn(Answered("ran", body)) == Verdict::kWhole);
  CHECK(VerdictOn(Answered("ran", other)) == Verdict::kMismatched);
  CHECK(VerdictOn(Answered("ran", body + "x")) == Verdict::kMismatched);
  CHECK(VerdictOn(Answered("ran", body.substr(1))) == Verdict::kShort);
  CHECK(VerdictOn(Answered("not-run", "")) == Verdict::kNotRun);
  CHECK(VerdictOn(Answered("unknown", "")) == Verdict::kUnknown);
  CHECK(VerdictOn(Answered("", body)) == Verdict::kError);
  HttpCallResult failed = Answered("ran", body);
  failed.response.status = 500;
  CHECK(VerdictOn(failed) == Verdict::kError);
  HttpCallResult lost;
  lost.end = HttpCallEnd::kLost;
  CHECK(VerdictOn(lost) == Verdict::kUnknown);
  CHECK(VerdictOn(HttpCallResult()) == Verdict::kError);
}

// Guards against offered rates that differ from the experiment's, and against
// bursts that are smeared over their period.
TEST_CASE("arrivals keep their rate and shape on every thread")
{
  LoadPhase phase;
  phase.rate = 1000;
  phase.burstPeriod = 1s;
  phase.burst = 50ms;
  for (const char* shape : { "even", "poisson", "bursts" }) {
    phase.shape = shape;
    std::mt19937_64 engine(5);
    int arrivals = 0;
    for (std::size_t thread = 0; thread < 2; ++thread) {
      ArrivalProcess process(phase, thread, 2);
      Duration at = process.Next(engine);
      for (; at < 20s; at = process.Next(engine)) {
        ++arrivals;
        if (phase.shape == "bursts") {
          CHECK(at % Duration(1s) <= Duration(50ms));
        }
      }
    }
    INFO(std::string(shape));
    CHECK(arrivals > 19300);
    CHECK(arrivals < 20700);
  }
}

// Guards against misspelt keys that silently leave a default in force.
TEST_CASE("an experiment with an unknown or impossible key is refused")
{
  const nlohmann::json good = {
    { "entry", { { { "address", "127.0.0.1:80" }, { "zone", "Bole" } } } },
    { "phase", { { { "name", "p" }, { "rate", 10 } } } },
    { "request", { { { "service", "registro" } } } }
  };
  CHECK(LoadExperiment::Make(good).has_value());
  nlohmann::json bad = good;
  bad["phase"][0]["ratte"] = 5;
  CHECK_FALSE(LoadExperiment::Make(bad).has_value());
  bad = good;
  bad["phase"][0]["rate"] = 0;
  CHECK_FALSE(LoadExperiment::Make(bad).has_value());
  bad = good;
  bad["entry"][0]["address"] = "localhost";
  CHECK_FALSE(LoadExperiment::Make(bad).has_value());
}
