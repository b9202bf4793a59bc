#ifndef LOAD_RUNCHECK_H
#define LOAD_RUNCHECK_H

#include "lacewing/Outcome.h"
#include "load/PhaseCheck.h"
#include "load/RunCheckInput.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace lacewing {

/** Compares what callers were told with what the targets ran. */
class RunCheck
{
public:
  static Outcome<RunCheck> Make(const RunCheckInput& aInput);

  /** Whether each phase passed; a phase without requests passes. */
  bool Passed() const;

  /** The phase of that name; one without requests is empty. */
  PhaseCheck Phase(const std::string& aName) const;

  /** One row a phase: answers, latency, runs a group, and violations. */
  std::string ToTable() const;

private:
  RunCheck() = default;

  nlohmann::json result_;
  std::map<std::string, PhaseCheck> phases_;
  /** Share of the used slot time that probes took, in per cent. */
  double probeShare_ = 0;
};

} // namespace lacewing

#endif // LOAD_RUNCHECK_H
