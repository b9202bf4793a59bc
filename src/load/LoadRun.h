#ifndef LOAD_LOADRUN_H
#define LOAD_LOADRUN_H

#include "lacewing/Outcome.h"
#include "load/LoadExperiment.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <memory>
#include <string>

namespace lacewing {

/** How an experiment is run. */
struct LoadRunOptions
{
  std::size_t threads = 1;
  /** Begins every request id; has to differ from run to run. */
  std::string idPrefix;
  /** File for one line of JSON a request; empty for none. */
  std::string recordsFile;
};

/** Runs an experiment to its end and returns the results as JSON. */
Outcome<nlohmann::json> RunLoad(
  const std::shared_ptr<const LoadExperiment>& aExperiment,
  const LoadRunOptions& aOptions);

} // namespace lacewing

#endif // LOAD_LOADRUN_H
