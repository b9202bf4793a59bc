#ifndef LOAD_ARRIVALPROCESS_H
#define LOAD_ARRIVALPROCESS_H

#include "load/LoadPhase.h"

#include <random>

namespace lacewing {

/** Draws the arrival times of one phase for one of several threads. */
class ArrivalProcess
{
public:
  ArrivalProcess(const LoadPhase& aPhase,
                 std::size_t aThread,
                 std::size_t aThreads);

  /** The next arrival, counted from the start of the phase. */
  Duration Next(std::mt19937_64& aEngine);

private:
  using Seconds = std::chrono::duration<double>;
  struct Shape;
  static const Shape kShapes[];

  Seconds Even(std::mt19937_64& aEngine);
  Seconds Poisson(std::mt19937_64& aEngine);
  Seconds Bursts(std::mt19937_64& aEngine);

  const LoadPhase& phase_;
  Seconds (ArrivalProcess::*draw_)(std::mt19937_64&) = &ArrivalProcess::Poisson;
  /** Mean time between arrivals of this thread. */
  const Seconds gap_;
  Seconds last_{};
};

} // namespace lacewing

#endif // LOAD_ARRIVALPROCESS_H
