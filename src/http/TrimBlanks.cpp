#include "http/TrimBlanks.h"

namespace lacewing {

std::string_view TrimBlanks(std::string_view aText)
{
  constexpr std::string_view kBlanks = " \t";
  const std::size_t first = aText.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(kBlanks) - first + 1);
}

} // namespace lacewing
