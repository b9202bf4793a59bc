#include "balance/Eligibility.h"

namespace lacewing {

namespace {

// Owners send readings several times per second. Two seconds without one mean
// that the owner or this host was paused or was behind a network partition.
constexpr Duration kReadingFresh = std::chrono::seconds(2);
// The limit for cold targets holds for any one second. The window is slightly
// longer because the latency of requests varies.
constexpr Duration kColdWindow = std::chrono::milliseconds(1050);

/**
 * Returns the newest reading if its health is recent, newer than the last
 * failed connection and not kUnresponsive.
 */
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
