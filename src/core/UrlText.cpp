#include "core/UrlText.h"

#include <cctype>

namespace lacewing {

std::string EscapeUrl(std::string_view aText)
{
  constexpr const char* kHex = "0123456789ABCDEF";
  std::string escaped;
  for (const char c : aText) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 ||
        std::string_view("-._~/").find(c) != std::string_view::npos) {
      escaped += c;
    } else {
      escaped += '%';
      escaped += kHex[byte >> 4U];
      escaped += kHex[byte & 15U];
    }
  }
  return escaped;
}

} // namespace lacewing
