#include "fleet/CatalogProgress.h"

#include "core/Log.h"
#include "fleet/PositionOrder.h"

namespace lacewing {

namespace {

// A pull takes some milliseconds, and a change has to be in force everywhere
// within 2 s of its acknowledgement.
constexpr Duration kLate = std::chrono::milliseconds(500);

std::string Milliseconds(Duration aDuration)
{
  return std::to_string(
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count());
}

} // namespace

void CatalogProgress::NoteBehind(const std::string& aPeer,
                                 const std::vector<StorePosition>& aPositions,
                                 TimePoint aNow)
{
  if (!behindSince_) {
    behindSince_ = aNow;
    awaited_ = aPositions;
    reportedBy_ = aPeer;
    failedPulls_ = 0;
  }
}

void CatalogProgress::NoteReached(const std::vector<StorePosition>& aPositions,
                                  const std::string& aFrom,
                                  TimePoint aNow)
{
  if (!behindSince_ || IsAhead(awaited_, aPositions)) {
    return;
  }
  const Duration behind = aNow - *behindSince_;
  behindSince_.reset();
  behind_.Add(behind);
  if (behind >= kLate) {
    Log(LogLevel::kWarning,
        "catalog-late",
        { { "behind_ms", Milliseconds(behind) },
          { "reported_by", reportedBy_ },
          { "from", aFrom },
          { "failed_pulls", std::to_string(failedPulls_) } });
  }
}

Duration CatalogProgress::Behind(TimePoint aNow) const
{
  return behindSince_ ? aNow - *behindSince_ : Duration(0);
}

void CatalogProgress::NotePull(const std::string& aPeer,
                               const std::string& aError,
                               Duration aElapsed)
{
  ++pulls_;
  if (aError.empty()) {
    return;
  }
  ++failures_;
  ++failedPulls_;
  Log(LogLevel::kWarning,
      "catalog-pull",
      { { "peer", aPeer },
        { "error", aError },
        { "ms", Milliseconds(aElapsed) } });
}

void CatalogProgress::AddMetrics(MetricsPage& aPage) const
{
  aPage.AddHistogram("lacewing_catalog_behind_seconds",
                     "Time between the first report of a change that this host "
                     "lacked and its arrival.",
                     {},
                     behind_);
  aPage.AddCounter("lacewing_catalog_pulls_total",
                   "Pulls of changes from peers, by result.",
                   { { "result", "received" } },
                   pulls_ - failures_);
  aPage.AddCounter("lacewing_catalog_pulls_total",
                   "Pulls of changes from peers, by result.",
                   { { "result", "failed" } },
                   failures_);
}

} // namespace lacewing
