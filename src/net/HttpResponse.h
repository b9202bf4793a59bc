#ifndef NET_HTTPRESPONSE_H
#define NET_HTTPRESPONSE_H

#include "http/HttpFields.h"

#include <string>

namespace lacewing {

/** A whole answer; Content-Length is derived from the body when sent. */
struct HttpResponse
{
  int status = 200;
  HttpFields fields;
  std::string body;
};

} // namespace lacewing

#endif // NET_HTTPRESPONSE_H
