#include "config/BlobHash.h"

#include "core/StableHash.h"

#include <algorithm>

namespace lacewing {

namespace {

constexpr std::size_t kHashDigits = 32;

} // namespace

BlobHash HashOfBlob(std::string_view aBytes)
{
  return BlobHash(ContentHash(aBytes));
}

bool IsBlobHashText(std::string_view aText)
{
  return aText.size() == kHashDigits &&
         std::all_of(aText.begin(), aText.end(), [](char aChar) {
           return (aChar >= '0' && aChar <= '9') ||
                  (aChar >= 'a' && aChar <= 'f');
         });
}

} // namespace lacewing
