#ifndef NET_HTTPREQUEST_H
#define NET_HTTPREQUEST_H

#include "http/HttpFields.h"

#include <string>

namespace lacewing {

/** A whole request as received. */
struct HttpRequest
{
  std::string method;
  /** Path and query, as on the request line. */
  std::string target;
  HttpFields fields;
  std::string body;
  /** True for the first request of its connection. */
  bool firstOnConnection = false;
};

} // namespace lacewing

#endif // NET_HTTPREQUEST_H
