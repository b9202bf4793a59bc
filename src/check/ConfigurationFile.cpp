#include "check/ConfigurationFile.h"

#include <fstream>

namespace lacewing {

namespace {

constexpr std::size_t kMaxBytes = 8U << 20U;

} // namespace

Outcome<std::string> ReadConfigurationText(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::string text(kMaxBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (!file.is_open() || file.bad() || file.gcount() == 0) {
    return Fail(ErrorKind::kInvalidMessage,
                aPath + " cannot be read or is empty",
                "check its name and its permissions");
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  if (text.size() > kMaxBytes) {
    return Fail(ErrorKind::kTooLarge,
                aPath + " has more than 8 MiB",
                "hosts cannot read it from the store; remove entries");
  }
  return text;
}

} // namespace lacewing
