#include "standin/RunLog.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace lacewing {

namespace {

// About 200 bytes each, so that the log stays below 1 GB.
constexpr std::size_t kMaxRuns = 4'000'000;

} // namespace

RunLog::Index RunLog::Add(RunRecord aRecord)
{
  if (runs_.size() == kMaxRuns) {
    runs_.pop_front();
    ++first_;
  }
  runs_.push_back(std::move(aRecord));
  return first_ + runs_.size() - 1;
}

void RunLog::SetEnd(Index aRun, RunEnd aEnd)
{
  if (aRun >= first_) {
    runs_[aRun - first_].end = aEnd;
  }
}

void RunLog::Clear()
{
  first_ += runs_.size();
  runs_.clear();
}

std::string RunLog::ToJsonLines() const
{
  std::string lines;
  for (const RunRecord& run : runs_) {
    const nlohmann::json json = {
      { "target", run.target.value() },
      { "request_id", run.requestId },
      { "started_ms",
        std::chrono::duration<double, std::milli>(run.started).count() },
      { "method", run.method },
      { "path", run.path },
      { "end", ToString(run.end) },
    };
    // A path may hold bytes that are no UTF-8.
    lines +=
      json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    lines += '\n';
  }
  return lines;
}

} // namespace lacewing
