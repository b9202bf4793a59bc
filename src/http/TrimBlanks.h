#ifndef HTTP_TRIMBLANKS_H
#define HTTP_TRIMBLANKS_H

#include <string_view>

namespace lacewing {

/** aText without the blanks and tabs around it, as RFC 9110 reads values. */
std::string_view TrimBlanks(std::string_view aText);

} // namespace lacewing

#endif // HTTP_TRIMBLANKS_H
