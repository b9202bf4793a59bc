#include "core/JsonDepth.h"

#include <algorithm>

namespace lacewing {

std::size_t JsonDepth(std::string_view aText)
{
  std::size_t depth = 0;
  std::size_t deepest = 0;
  bool inString = false;
  for (std::size_t at = 0; at < aText.size(); ++at) {
    const char c = aText[at];
    if (inString) {
      at += c == '\\' ? 1 : 0;
      inString = c != '"';
    } else if (c == '"') {
      inString = true;
    } else if (c == '[' || c == '{') {
      deepest = std::max(deepest, ++depth);
    } else if ((c == ']' || c == '}') && depth > 0) {
      --depth;
    }
  }
  return deepest;
}

} // namespace lacewing
