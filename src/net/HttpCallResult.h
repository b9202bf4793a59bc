#ifndef NET_HTTPCALLRESULT_H
#define NET_HTTPCALLRESULT_H

#include "net/HttpCallEnd.h"
#include "net/HttpResponse.h"

#include <string>

namespace lacewing {

/** The end of a call; the response is whole when end is kAnswered. */
struct HttpCallResult
{
  HttpCallEnd end = HttpCallEnd::kNotSent;
  HttpResponse response;
  /** The transport's error for logs; empty when answered. */
  std::string error;
};

} // namespace lacewing

#endif // NET_HTTPCALLRESULT_H
