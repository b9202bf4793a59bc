#ifndef GATEWAY_CLOSEREASON_H
#define GATEWAY_CLOSEREASON_H

namespace lacewing {

/** Why a caller's connection was closed. */
enum class CloseReason
{
  /** The response that ends the connection was written. */
  kAnswered,
  /** The caller ended its sending side. */
  kCallerClosed,
  /** Reading from or writing to the caller failed. */
  kCallerReset,
  kIdleTimeout,
  kHeadTimeout,
  kBodyTimeout,
  kWriteTimeout,
  /** The process stops. */
  kStopped,
};

const char* ToString(CloseReason aReason);

} // namespace lacewing

#endif // GATEWAY_CLOSEREASON_H
