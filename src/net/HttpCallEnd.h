#ifndef NET_HTTPCALLEND_H
#define NET_HTTPCALLEND_H

namespace lacewing {

/** How a call ended. */
enum class HttpCallEnd
{
  /** A whole answer arrived. */
  kAnswered,
  /** No byte of the request was sent; it was not run. */
  kNotSent,
  /** Bytes were sent and no whole answer came; it may have run. */
  kLost,
  /** Bytes were sent and the call's time ran out; it may have run. */
  kTimedOut,
  /** The answer exceeds the size limit; the request was run. */
  kTooLarge,
};

} // namespace lacewing

#endif // NET_HTTPCALLEND_H
