#ifndef HTTP_HTTPHEAD_H
#define HTTP_HTTPHEAD_H

#include "http/HttpFields.h"

#include <string>

namespace lacewing {

/** Start line and header fields of a request or an answer. */
struct HttpHead
{
  /** Requests only. */
  std::string method;
  /** Requests only: path and query as sent. */
  std::string target;
  /** Answers only; 0 in requests. */
  unsigned status = 0;
  HttpFields fields;
  /** Whether the sender keeps the connection after this message. */
  bool keepAlive = true;
};

} // namespace lacewing

#endif // HTTP_HTTPHEAD_H
