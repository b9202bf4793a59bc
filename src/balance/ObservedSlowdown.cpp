#include "balance/ObservedSlowdown.h"

#include <algorithm>
#include <cmath>

namespace lacewing {

namespace {

// A slow phase of a target lasts some seconds.
constexpr double kDecaySeconds = 2;
// Weight of the newest response: service times vary by themselves.
constexpr double kNewestWeight = 0.5;
// A request that takes this multiple of the usual time is overdue.
constexpr double kOverdueFactor = 1.6;
// A single stalled request says no more than this about the next one.
constexpr double kMaxFactor = 20;
constexpr double kPercent = 100;

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

void ObservedSlowdown::OnSent(TimePoint aNow)
{
  open_.push_back(aNow);
}

void ObservedSlowdown::OnEnded(TimePoint aSentAt)
{
  const auto sent = std::find(open_.begin(), open_.end(), aSentAt);
  if (sent != open_.end()) {
    open_.erase(sent);
  }
}

void ObservedSlowdown::OnResponse(TimePoint aNow, double aFactor)
{
  const double before = FactorAt(aNow);
  factor_ = before + (std::min(aFactor, kMaxFactor) - before) * kNewestWeight;
  factorAt_ = aNow;
}

double ObservedSlowdown::FactorAt(TimePoint aNow) const
{
  return 1 +
         (factor_ - 1) * std::exp(-Seconds(aNow - factorAt_) / kDecaySeconds);
}

unsigned ObservedSlowdown::PercentAt(TimePoint aNow, Duration aUsual) const
{
  double factor = FactorAt(aNow);
  if (!open_.empty() && aUsual > Duration(0)) {
    const double overdue = Seconds(aNow - open_.front()) / Seconds(aUsual);
    if (overdue > kOverdueFactor) {
      factor = std::max(factor, std::min(overdue, kMaxFactor));
    }
  }
  return static_cast<unsigned>(std::lround(factor * kPercent));
}

} // namespace lacewing
