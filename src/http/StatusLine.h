#ifndef HTTP_STATUSLINE_H
#define HTTP_STATUSLINE_H

#include <cstddef>
#include <optional>
#include <string_view>

namespace lacewing {

/**
 * The bytes of a status line that state version and status, with the one behind
 * them: "HTTP/1.1 200 ".
 */
constexpr std::size_t kStatusPrefixSize = 13;

/**
 * Reads the status of a status line of RFC 9112 section 4. aLine is the line
 * without its end, or its first kStatusPrefixSize bytes. Empty unless the major
 * version is 1 and the status has three digits and lies between 100 and 599.
 */
std::optional<unsigned> ReadStatus(std::string_view aLine);

} // namespace lacewing

#endif // HTTP_STATUSLINE_H
