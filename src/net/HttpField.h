#ifndef NET_HTTPFIELD_H
#define NET_HTTPFIELD_H

#include <string>

namespace lacewing {

/** One header field of an HTTP message. */
struct HttpField
{
  std::string name;
  std::string value;
};

} // namespace lacewing

#endif // NET_HTTPFIELD_H
