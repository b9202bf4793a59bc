#include "config/ServiceField.h"

#include <algorithm>

namespace lacewing {

namespace {

constexpr std::size_t kMaxMethodLength = 32;

} // namespace

bool IsMethodText(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kMaxMethodLength &&
         std::all_of(aText.begin(), aText.end(), [](char aChar) {
           return aChar >= 'A' && aChar <= 'Z';
         });
}

} // namespace lacewing
