#include "load/LoadTally.h"

#include <algorithm>
#include <array>
#include <utility>

namespace lacewing {

namespace {

constexpr std::array<std::pair<Verdict, std::uint64_t LoadTally::*>, 6>
  kCounters{ {
    { Verdict::kWhole, &LoadTally::whole },
    { Verdict::kMismatched, &LoadTally::mismatched },
    { Verdict::kShort, &LoadTally::shortened },
    { Verdict::kNotRun, &LoadTally::notRun },
    { Verdict::kUnknown, &LoadTally::unknown },
    { Verdict::kError, &LoadTally::errors },
  } };

} // namespace

void LoadTally::Add(const CheckedAnswer& aAnswer, Duration aLatency)
{
  for (const auto& [verdict, counter] : kCounters) {
    if (verdict == aAnswer.verdict) {
      ++(this->*counter);
    }
  }
  allLatency.Add(aLatency);
  if (aAnswer.verdict != Verdict::kWhole) {
    ++reasons[aAnswer.reason];
    return;
  }
  latency.Add(aLatency);
  longest = std::max(longest, aLatency);
}

void LoadTally::Merge(const LoadTally& aOther)
{
  sent += aOther.sent;
  overrun += aOther.overrun;
  for (const auto& [verdict, counter] : kCounters) {
    this->*counter += aOther.*counter;
  }
  for (const auto& [reason, count] : aOther.reasons) {
    reasons[reason] += count;
  }
  latency.Merge(aOther.latency);
  allLatency.Merge(aOther.allLatency);
  sendLag.Merge(aOther.sendLag);
  longest = std::max(longest, aOther.longest);
}

} // namespace lacewing
