#ifndef HTTP_EXCHANGERESULT_H
#define HTTP_EXCHANGERESULT_H

#include "http/ExchangeEnd.h"
#include "http/HttpMessage.h"

#include <string>

namespace lacewing {

/** The end of one request on a client connection. */
struct ExchangeResult
{
  ExchangeEnd end = ExchangeEnd::kLost;
  /** The answer, with kAnswered. */
  HttpMessage answer;
  /**
   * Whether the answer is proved to belong to the request. False for one that
   * its place alone assigns, on a connection where that place is in doubt.
   */
  bool identified = true;
  /** What failed or is in doubt, for logs. */
  std::string detail;
};

} // namespace lacewing

#endif // HTTP_EXCHANGERESULT_H
