#ifndef BALANCE_TARGETQUALITY_H
#define BALANCE_TARGETQUALITY_H

namespace lacewing {

/** What a target must be like to get a request. */
enum class TargetQuality
{
  /** A slot is free. */
  kAny,
  /** A slot is free, and work takes about its usual time. */
  kQuiet,
  /** Quiet, and not nearly full. */
  kGood,
};

} // namespace lacewing

#endif // BALANCE_TARGETQUALITY_H
