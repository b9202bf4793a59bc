#ifndef HTTP_HTTPMESSAGE_H
#define HTTP_HTTPMESSAGE_H

#include "http/HttpHead.h"

#include <string>

namespace lacewing {

/** A whole request or answer; the body is without transfer coding. */
struct HttpMessage
{
  HttpHead head;
  std::string body;
};

} // namespace lacewing

#endif // HTTP_HTTPMESSAGE_H
