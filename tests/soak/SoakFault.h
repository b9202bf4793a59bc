#ifndef TESTS_SOAK_SOAKFAULT_H
#define TESTS_SOAK_SOAKFAULT_H

#include "lacewing/Clock.h"

namespace lacewing {

class FaultDriver;

/** One kind of trouble, and how it is brought about. */
struct SoakFault
{
  const char* name;
  /** Planned work, around which nothing may be lost. */
  bool planned;
  /** Strikes now and ends by itself after about the given time. */
  void (FaultDriver::*strike)(Duration aLength);
  int leastMs;
  int mostMs;
};

} // namespace lacewing

#endif // TESTS_SOAK_SOAKFAULT_H
