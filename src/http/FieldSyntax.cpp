#include "http/FieldSyntax.h"

#include <algorithm>

namespace lacewing {

namespace {

bool IsTokenChar(char aChar)
{
  constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
         (aChar >= '0' && aChar <= '9') ||
         kOthers.find(aChar) != std::string_view::npos;
}

bool IsControl(char aChar)
{
  constexpr unsigned char kFirstVisible = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  const auto byte = static_cast<unsigned char>(aChar);
  return (byte < kFirstVisible && aChar != '\t') || byte == kDelete;
}

} // namespace

bool IsFieldName(std::string_view aName)
{
  return !aName.empty() && std::all_of(aName.begin(), aName.end(), IsTokenChar);
}

bool IsFieldValue(std::string_view aValue)
{
  return std::none_of(aValue.begin(), aValue.end(), IsControl);
}

} // namespace lacewing
