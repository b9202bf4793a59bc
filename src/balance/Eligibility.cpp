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
  auto reading = aCandidate.local->NewestReading(aCandidate.reading);
  if (!reading || reading->probedAt + kReadingFresh < aNow ||
      reading->probedAt <= aCandidate.local->LastConnectionFailure() ||
      reading->state == ReadingState::kUnresponsive) {
    return std::nullopt;
  }
  return reading;
}

bool HasColdQuotaLeft(const Candidate& aCandidate, TimePoint aNow)
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
  if (health->coldLeft <= Duration(0) || HasColdQuotaLeft(aCandidate, aNow)) {
    return Eligibility::kEligible;
  }
  return health->probedAt + health->coldLeft < aNow ? Eligibility::kNeedsProbe
                                                    : Eligibility::kNotEligible;
}

} // namespace lacewing
