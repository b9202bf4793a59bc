#ifndef TESTS_SOAK_SOAKFAULT_H
#define TESTS_SOAK_SOAKFAULT_H

#include "lacewing/Clock.h"

namespace lacewing {

class FaultDriver;

/** One kind of fault and the function that injects it. */
struct SoakFault
{
  const char* name;
  /** A planned change, during which no request may be lost. */
  bool planned;
  /** Injects the fault now; it ends by itself after about aLength. */
  void (FaultDriver::*inject)(Duration aLength);
  /** Bounds of the random length, in milliseconds. */
  int minMs;
  int maxMs;
};

} // namespace lacewing

#endif // TESTS_SOAK_SOAKFAULT_H
