#ifndef TESTS_SUPPORT_EVENTWORLD_H
#define TESTS_SUPPORT_EVENTWORLD_H

#include "core/ManualClock.h"

#include <functional>
#include <map>
#include <random>
#include <string>

namespace lacewing {

/** True time, events in its order, and seeded chance, for protocol tests. */
class EventWorld
{
public:
  explicit EventWorld(std::uint64_t aSeed)
    : random_(aSeed)
  {
  }

  ManualClock& Time() { return time_; }
  /** A number from 0 to aMost. */
  std::uint64_t Pick(std::uint64_t aMost) { return random_() % (aMost + 1); }
  bool Chance(unsigned aPercent) { return Pick(99) < aPercent; }
  Duration PickTime(Duration aMost)
  {
    return Duration(Pick(static_cast<std::uint64_t>(aMost.count())));
  }

  void After(Duration aDelay, std::function<void()> aAct)
  {
    events_.emplace(time_.Now() + aDelay, std::move(aAct));
  }
  void Run(Duration aLength)
  {
    const TimePoint end = time_.Now() + aLength;
    while (!events_.empty() && events_.begin()->first <= end) {
      const auto event = events_.extract(events_.begin());
      time_.Set(event.key());
      event.mapped()();
    }
  }

  void Expect(bool aHolds, const char* aViolation)
  {
    if (!aHolds && violation_.empty()) {
      violation_ = aViolation;
    }
  }
  /** The first expectation that did not hold; empty when all did. */
  const std::string& Violation() const { return violation_; }

private:
  ManualClock time_;
  std::mt19937_64 random_;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::string violation_;
};

} // namespace lacewing

#endif // TESTS_SUPPORT_EVENTWORLD_H
