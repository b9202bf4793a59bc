#include "support/RunCounts.h"

#include "support/BlockingHttp.h"

#include <sstream>

namespace lacewing {

RunCounts ReadRunCounts(const Endpoint& aAdmin)
{
  RunCounts counts;
  std::istringstream lines(Get(aAdmin, "/runs").response.body);
  for (std::string line; std::getline(lines, line);) {
    const nlohmann::json run = nlohmann::json::parse(line);
    ++counts[run["method"].get<std::string>() + " " +
             run["path"].get<std::string>()];
  }
  return counts;
}

} // namespace lacewing
