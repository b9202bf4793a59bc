#ifndef HTTP_HTTPFIELD_H
#define HTTP_HTTPFIELD_H

#include <string>

namespace lacewing {

/** One header field of an HTTP message. */
struct HttpField
{
  std::string name;
  std::string value;
};

} // namespace lacewing

#endif // HTTP_HTTPFIELD_H
