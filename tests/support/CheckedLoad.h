#ifndef TESTS_SUPPORT_CHECKEDLOAD_H
#define TESTS_SUPPORT_CHECKEDLOAD_H

#include "load/RunCheck.h"
#include "support/Deployment.h"
#include "support/TempFile.h"

#include <nlohmann/json.hpp>

#include <future>
#include <string>
#include <utility>
#include <vector>

namespace lacewing {

/** Name of a phase of load and its length. */
using PhaseLength = std::pair<std::string, std::chrono::milliseconds>;

/** Balance checks, and a quarter of deposits by POST. */
nlohmann::json DefaultMix();

/**
 * A load on every entry host of a Deployment, in the background; its records
 * are compared with the targets' logs at the end. The mix is an array of
 * request kinds as in an experiment's file.
 */
class CheckedLoad
{
public:
  CheckedLoad(const Deployment& aDeployment,
              const std::vector<PhaseLength>& aPhases,
              double aRate,
              const nlohmann::json& aMix = DefaultMix());

  /** Waits for the end of the load and compares. */
  RunCheck Finish();

  /** Counts over all phases; call after Finish. */
  nlohmann::json Total() const { return result_["total"]; }

  /** Counts of a phase as the load tool writes them; call after Finish. */
  nlohmann::json Phase(const std::string& aName) const;

private:
  const Deployment& deployment_;
  TempFile records_{ "" };
  std::future<Outcome<nlohmann::json>> load_;
  nlohmann::json result_;
};

} // namespace lacewing

#endif // TESTS_SUPPORT_CHECKEDLOAD_H
