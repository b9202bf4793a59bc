#include "support/CheckedLoad.h"

#include "load/LoadExperiment.h"
#include "load/LoadRun.h"
#include "support/BlockingHttp.h"

#include <doctest/doctest.h>

#include <memory>
#include <thread>

namespace lacewing {

namespace {

nlohmann::json MakeExperiment(const Deployment& aDeployment,
                              const std::vector<PhaseLength>& aPhases,
                              double aRate,
                              const nlohmann::json& aMix)
{
  nlohmann::json json = { { "seed", 20261204U } };
  for (std::size_t host = 0; host < aDeployment.Hosts(); ++host) {
    json["entry"].push_back(
      { { "address", aDeployment.Callers(host).ToString() },
        { "ready", aDeployment.EntryAdmin(host).ToString() } });
  }
  for (const auto& [name, length] : aPhases) {
    json["phase"].push_back({ { "name", name },
                              { "duration_ms", length.count() },
                              { "rate", aRate } });
  }
  json["request"] = aMix;
  return json;
}

} // namespace

nlohmann::json DefaultMix()
{
  return { { { "weight", 3 },
             { "service", "ledger" },
             { "path", "/balance" },
             { "answer_bytes", 700U } },
           { { "weight", 1 },
             { "service", "ledger" },
             { "method", "POST" },
             { "path", "/deposit" },
             { "body_bytes", 300U } } };
}

CheckedLoad::CheckedLoad(const Deployment& aDeployment,
                         const std::vector<PhaseLength>& aPhases,
                         double aRate,
                         const nlohmann::json& aMix)
  : deployment_(aDeployment)
{
  auto experiment =
    LoadExperiment::Make(MakeExperiment(aDeployment, aPhases, aRate, aMix));
  REQUIRE_MESSAGE(experiment.has_value(), experiment.error().ToString());
  LoadRunOptions options;
  options.threads = 2;
  options.idPrefix = "r" + std::to_string(aDeployment.Platform().port) + "-";
  options.recordsFile = records_.Path();
  load_ = std::async(std::launch::async, [options, load = experiment.value()] {
    return RunLoad(load, options);
  });
}

RunCheck CheckedLoad::Finish()
{
  const auto result = load_.get();
  REQUIRE_MESSAGE(result.has_value(), result.error().ToString());
  result_ = result.value();
  // Requests that were given up may still be on their way to a target.
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  const TempFile json(result_.dump());
  std::vector<std::unique_ptr<TempFile>> files;
  RunCheckInput input;
  input.result = json.Path();
  input.records = records_.Path();
  for (std::size_t zone = 0; zone < deployment_.Zones(); ++zone) {
    const Endpoint admin = deployment_.TargetAdmin(zone);
    files.push_back(
      std::make_unique<TempFile>(Get(admin, "/runs").response.body));
    input.runs.push_back(files.back()->Path());
    files.push_back(
      std::make_unique<TempFile>(Get(admin, "/stats").response.body));
    input.stats.push_back(files.back()->Path());
  }
  auto check = RunCheck::Make(input);
  REQUIRE_MESSAGE(check.has_value(), check.error().ToString());
  MESSAGE("\n" << check.value().ToTable());
  return std::move(check).value();
}

nlohmann::json CheckedLoad::Phase(const std::string& aName) const
{
  for (const nlohmann::json& phase : result_["phases"]) {
    if (phase["name"] == aName) {
      return phase;
    }
  }
  return {};
}

} // namespace lacewing
