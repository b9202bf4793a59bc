#ifndef BALANCE_TARGETQUALITY_H
#define BALANCE_TARGETQUALITY_H

namespace lacewing {

/** The minimum state that a target must be in to get a request. */
enum class TargetQuality
{
  /** A slot is free. */
  kAny,
  /** A slot is free, and requests take about their usual time. */
  kQuiet,
  /** As kQuiet, and the slots are not nearly all taken. */
  kGood,
};

} // namespace lacewing

#endif // BALANCE_TARGETQUALITY_H
