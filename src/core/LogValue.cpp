#include "core/LogValue.h"

#include <fmt/format.h>

#include <algorithm>

namespace lacewing {

namespace {

constexpr std::size_t kMaxSize = 2000;

bool IsControl(char aChar)
{
  const auto byte = static_cast<unsigned char>(aChar);
  return byte < 0x20 || byte == 0x7f;
}

bool NeedsQuotes(const std::string& aValue)
{
  return aValue.empty() ||
         aValue.find_first_of(" \"=\\") != std::string::npos ||
         std::any_of(aValue.begin(), aValue.end(), IsControl);
}

std::string Quote(const std::string& aValue)
{
  std::string quoted = "\"";
  for (const char c : aValue) {
    if (c == '"' || c == '\\') {
      quoted += '\\';
      quoted += c;
    } else if (c == '\n') {
      quoted += "\\n";
    } else if (IsControl(c)) {
      quoted += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
    } else {
      quoted += c;
    }
  }
  return quoted + '"';
}

} // namespace

std::string FormatLogValue(const std::string& aValue)
{
  if (aValue.size() > kMaxSize) {
    return Quote(aValue.substr(0, kMaxSize)) + "... size " +
           std::to_string(aValue.size());
  }
  return NeedsQuotes(aValue) ? Quote(aValue) : aValue;
}

} // namespace lacewing
