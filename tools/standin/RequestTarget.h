#ifndef STANDIN_REQUESTTARGET_H
#define STANDIN_REQUESTTARGET_H

#include <map>
#include <string>
#include <string_view>

namespace lacewing {

/** The path and the query of a request line, percent-decoded. */
struct RequestTarget
{
  std::string path;
  std::map<std::string, std::string> query;

  static RequestTarget Parse(std::string_view aText);

  /** The value of a query parameter, or null. */
  const std::string* Find(const std::string& aName) const;
};

} // namespace lacewing

#endif // STANDIN_REQUESTTARGET_H
