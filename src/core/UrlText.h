#ifndef CORE_URLTEXT_H
#define CORE_URLTEXT_H

#include <string>
#include <string_view>

namespace lacewing {

/** Escapes a key or a value for a request target; slashes stay. */
std::string EscapeUrl(std::string_view aText);

} // namespace lacewing

#endif // CORE_URLTEXT_H
