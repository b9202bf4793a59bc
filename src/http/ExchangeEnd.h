#ifndef HTTP_EXCHANGEEND_H
#define HTTP_EXCHANGEEND_H

namespace lacewing {

/** How one request on a client connection ended. */
enum class ExchangeEnd
{
  /** A whole answer arrived. */
  kAnswered,
  /** The connection never opened; no byte of the request left this host. */
  kNotSent,
  /** No answer, or no whole one; the request may have run. */
  kLost,
  /** Bytes arrived that are no answer; the request may have run. */
  kMalformed,
};

const char* ToString(ExchangeEnd aEnd);

} // namespace lacewing

#endif // HTTP_EXCHANGEEND_H
