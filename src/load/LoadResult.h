#ifndef LOAD_LOADRESULT_H
#define LOAD_LOADRESULT_H

#include "load/LoadExperiment.h"
#include "load/LoadTally.h"
#include "load/RequestRecord.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <memory>
#include <vector>

namespace lacewing {

/** The results of all threads together. */
class LoadResult
{
public:
  explicit LoadResult(std::shared_ptr<const LoadExperiment> aExperiment);

  /** Adds the tallies of a thread: of phases and kinds, and of slices. */
  void Merge(const std::vector<std::vector<LoadTally>>& aTallies,
             const std::vector<LoadTally>& aSlices);

  /** Sum over kinds, and over phases too for the total. */
  LoadTally PhaseTally(std::size_t aPhase) const;
  LoadTally Total() const;

  nlohmann::json ToJson() const;

private:
  const std::shared_ptr<const LoadExperiment> experiment_;
  std::vector<std::vector<LoadTally>> tallies_;
  std::vector<LoadTally> slices_;
};

/** A record as a line of JSON, without its end. */
std::string ToJsonLine(const RequestRecord& aRecord,
                       const LoadExperiment& aExperiment);

} // namespace lacewing

#endif // LOAD_LOADRESULT_H
