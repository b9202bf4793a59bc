#include "load/ArrivalProcess.h"

#include <cmath>

namespace lacewing {

struct ArrivalProcess::Shape
{
  const char* name;
  Seconds (ArrivalProcess::*draw)(std::mt19937_64&);
};

const ArrivalProcess::Shape ArrivalProcess::kShapes[] = {
  { "even", &ArrivalProcess::Even },
  { "poisson", &ArrivalProcess::Poisson },
  { "bursts", &ArrivalProcess::Bursts },
};

ArrivalProcess::ArrivalProcess(const LoadPhase& aPhase,
                               std::size_t aThread,
                               std::size_t aThreads)
  : phase_(aPhase)
  , gap_(static_cast<double>(aThreads) / aPhase.rate)
{
  for (const Shape& shape : kShapes) {
    if (aPhase.shape == shape.name) {
      draw_ = shape.draw;
    }
  }
  if (draw_ == &ArrivalProcess::Even) {
    // The threads take turns.
    last_ = gap_ * (static_cast<double>(aThread) / aThreads - 1);
  }
}

Duration ArrivalProcess::Next(std::mt19937_64& aEngine)
{
  return std::chrono::duration_cast<Duration>((this->*draw_)(aEngine));
}

ArrivalProcess::Seconds ArrivalProcess::Even(std::mt19937_64&)
{
  return last_ += gap_;
}

ArrivalProcess::Seconds ArrivalProcess::Poisson(std::mt19937_64& aEngine)
{
  return last_ += gap_ * std::exponential_distribution<double>(1)(aEngine);
}

ArrivalProcess::Seconds ArrivalProcess::Bursts(std::mt19937_64& aEngine)
{
  const Seconds period = phase_.burstPeriod;
  const Seconds burst = phase_.burst;
  // last_ counts only the time within bursts.
  last_ +=
    gap_ * (burst / period) * std::exponential_distribution<double>(1)(aEngine);
  const double number = std::floor(last_ / burst);
  return number * period + (last_ - number * burst);
}

} // namespace lacewing
