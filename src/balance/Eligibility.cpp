#include "balance/Eligibility.h"

namespace lacewing {

namespace {

// Owners repeat readings several times a second; two seconds without one mean
// that the owner, or this host, was cut off or paused.
constexpr Duration kReadingFresh = std::chrono::seconds(2);
// The bound on cold targets holds for any second; a little longer, because
// messages take different times.
constexpr Duration kColdWindow = std::chrono::milliseconds(1050);

/** Health that was told lately and after the last failed connection. */
std::optional<LoadReading> KnownHealth(const Candidate& aCandidate,
                                       TimePoint aNow)
{
  auto reading = aCandidate.local->Newest(aCandidate.reading);
  if (!reading || reading->probedAt + kReadingFresh < aNow ||
      reading->probedAt <= aCandidate.local->TroubleAt() ||
      reading->state == ReadingState::kSilent) {
    return std::nullopt;
  }
  return reading;
}

bool HasColdRoom(const Candidate& aCandidate, TimePoint aNow)
{
  return aCandidate.local->SentSince(aNow - kColdWindow) <
         aCandidate.target->coldQuota;
}

} // namespace

bool IsWarm(const Candidate& aCandidate, TimePoint aNow)
{
  const auto health = KnownHealth(aCandidate, aNow);
  return health && health->coldLeft <= Duration(0);
}

Eligibility EligibilityOf(const Candidate& aCandidate, TimePoint aNow)
{
  const auto health = KnownHealth(aCandidate, aNow);
  if (!health) {
    return Eligibility::kNeedsProbe;
  }
  if (health->coldLeft <= Duration(0) || HasColdRoom(aCandidate, aNow)) {
    return Eligibility::kMayGet;
  }
  return health->probedAt + health->coldLeft < aNow ? Eligibility::kNeedsProbe
                                                    : Eligibility::kNo;
}

} // namespace lacewing
