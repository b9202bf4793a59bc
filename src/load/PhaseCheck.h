#ifndef LOAD_PHASECHECK_H
#define LOAD_PHASECHECK_H

#include <cstdint>
#include <vector>

namespace lacewing {

/** What the targets' logs say of one phase's requests. */
struct PhaseCheck
{
  /** Runs of the phase's requests, by group of targets. */
  std::vector<std::uint64_t> runs;
  /** Non-idempotent requests that were run more than once. */
  std::uint64_t doubled = 0;
  /** Requests answered as not run that were run all the same. */
  std::uint64_t falselyNotRun = 0;
  /** Requests answered as run that no target ran. */
  std::uint64_t neverRun = 0;

  bool Passed() const
  {
    return doubled == 0 && falselyNotRun == 0 && neverRun == 0;
  }
};

} // namespace lacewing

#endif // LOAD_PHASECHECK_H
