#include "config/IdText.h"

#include <algorithm>

namespace lacewing {

namespace {

bool IsLetterOrDigit(char aChar)
{
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
         (aChar >= '0' && aChar <= '9');
}

} // namespace

bool IsIdText(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxIdLength &&
         IsLetterOrDigit(aText.front()) &&
         std::all_of(aText.begin(), aText.end(), [](char aChar) {
           return IsLetterOrDigit(aChar) || aChar == '.' || aChar == '_' ||
                  aChar == '-';
         });
}

} // namespace lacewing
