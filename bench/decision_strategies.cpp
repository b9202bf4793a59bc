#include "DecisionModel.h"
#include "decision/RoutingStrategy.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_split.h>

#include <cstdio>

ABSL_FLAG(std::string, strategies, "", "comma-separated; all when empty");
ABSL_FLAG(std::string, only, "", "part of the scenario names to run");
ABSL_FLAG(std::uint64_t, seeds, 3, "number of seeds");

namespace lacewing {

namespace {

std::vector<DecisionScenario> Scenarios()
{
  DecisionScenario sicily;
  sicily.name = "14 hosts, 25x6";
  DecisionScenario addis;
  addis.name = "17 hosts, 30x3";
  addis.hosts = 17;
  addis.targets = 30;
  addis.slots = 3;
  addis.zones = 3;
  addis.hostZones = 3;
  addis.farTime = std::chrono::milliseconds(1);
  addis.meanService = std::chrono::milliseconds(8);
  std::vector<DecisionScenario> all;
  for (const DecisionScenario& deployment : { sicily, addis }) {
    for (const double load : { 0.7, 0.9 }) {
      DecisionScenario stale = deployment;
      stale.load = load;
      stale.name += load < 0.8 ? ", 70 %" : ", 90 %";
      DecisionScenario slow = stale;
      DecisionScenario burst = stale;
      DecisionScenario uneven = stale;
      DecisionScenario mixed = stale;
      stale.name += ", stale reports";
      all.push_back(stale);
      slow.name += ", slow target";
      slow.slowness = 10;
      slow.faultLength = std::chrono::seconds(2);
      all.push_back(slow);
      burst.name += ", burst";
      burst.burst = 1.5;
      burst.faultLength = std::chrono::milliseconds(300);
      all.push_back(burst);
      uneven.name += ", all hosts in one zone";
      uneven.hostZones = 1;
      all.push_back(uneven);
      mixed.name += ", mixed work";
      mixed.longEach = 10;
      all.push_back(mixed);
    }
  }
  return all;
}

using Run = DecisionResult (*)(DecisionModel&, const std::string&);

DecisionResult RunStrategy(DecisionModel& aModel, const std::string& aName)
{
  return aModel.Run(aName);
}

DecisionResult RunIdeal(DecisionModel& aModel, const std::string&)
{
  return aModel.RunIdeal();
}

void PrintRow(const DecisionScenario& aScenario,
              const std::string& aName,
              Run aRun)
{
  double p50 = 0;
  double p999 = 0;
  std::size_t refused = 0;
  std::string p99;
  const std::uint64_t seeds = absl::GetFlag(FLAGS_seeds);
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    DecisionModel model(aScenario, seed);
    const DecisionResult result = aRun(model, aName);
    p50 += result.Milliseconds(0.5) / double(seeds);
    p999 += result.Milliseconds(0.999) / double(seeds);
    refused += result.refused;
    char text[32];
    std::snprintf(text, sizeof(text), " %7.1f", result.Milliseconds(0.99));
    p99 += text;
  }
  std::printf("%-22s %7.1f |%s | %8.1f %8zu\n",
              aName.c_str(),
              p50,
              p99.c_str(),
              p999,
              refused);
  std::fflush(stdout);
}

} // namespace

} // namespace lacewing

/**
 * Prints answer times in milliseconds: p50 and p99.9 as means over seeds, p99
 * for each seed, and refused requests of all seeds.
 */
int main(int argc, char** argv)
{
  using namespace lacewing;
  absl::ParseCommandLine(argc, argv);
  std::vector<std::string> names = RoutingStrategyNames();
  if (!absl::GetFlag(FLAGS_strategies).empty()) {
    names = absl::StrSplit(absl::GetFlag(FLAGS_strategies), ',');
  }
  for (const DecisionScenario& scenario : Scenarios()) {
    if (scenario.name.find(absl::GetFlag(FLAGS_only)) == std::string::npos) {
      continue;
    }
    std::printf("\n%s\n%-22s %7s | %-23s | %8s %8s\n",
                scenario.name.c_str(),
                "strategy",
                "p50",
                "p99 per seed",
                "p99.9",
                "refused");
    PrintRow(scenario, "(ideal central queue)", &RunIdeal);
    for (const std::string& name : names) {
      PrintRow(scenario, name, &RunStrategy);
    }
  }
  return 0;
}
