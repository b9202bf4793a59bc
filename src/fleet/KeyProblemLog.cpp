#include "fleet/KeyProblemLog.h"

#include "core/Log.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string>

namespace lacewing {

namespace {

// A line has about 100 bytes, and 256 KB wait to be written at most.
constexpr std::size_t kMaxLines = 20;

} // namespace

std::vector<KeyProblem> NewKeyProblems(const std::vector<KeyProblem>& aBefore,
                                       const std::vector<KeyProblem>& aNow)
{
  const std::set<KeyProblem> before(aBefore.begin(), aBefore.end());
  const std::set<KeyProblem> now(aNow.begin(), aNow.end());
  std::vector<KeyProblem> added;
  std::set_difference(now.begin(),
                      now.end(),
                      before.begin(),
                      before.end(),
                      std::back_inserter(added));
  return added;
}

void LogKeyProblems(const std::vector<KeyProblem>& aProblems)
{
  const std::size_t lines = std::min(aProblems.size(), kMaxLines);
  for (std::size_t i = 0; i < lines; ++i) {
    const KeyProblem& problem = aProblems[i];
    Log(LogLevel::kWarning,
        "customer-key",
        { { "customer", problem.customer.value() },
          { "number", std::to_string(problem.number) },
          { "unusable", ToString(problem.fault) } });
  }
  if (aProblems.size() > lines) {
    Log(LogLevel::kWarning,
        "customer-key",
        { { "more", std::to_string(aProblems.size() - lines) } });
  }
}

} // namespace lacewing
