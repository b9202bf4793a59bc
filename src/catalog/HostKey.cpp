#include "catalog/HostKey.h"

#include <algorithm>

namespace lacewing {

std::string HostKey(std::string_view aHost)
{
  std::string key(aHost.substr(0, aHost.find(':')));
  std::transform(key.begin(), key.end(), key.begin(), [](unsigned char aChar) {
    return aChar >= 'A' && aChar <= 'Z' ? aChar + 32 : aChar;
  });
  return key;
}

} // namespace lacewing
