#include "ctl/SheetFile.h"

#include "config/CsvReader.h"

#include <cerrno>
#include <cstring>
#include <fstream>

namespace lacewing {

Outcome<std::string> ReadSheetText(const std::string& aPath)
{
  errno = 0;
  std::ifstream file(aPath, std::ios::binary);
  std::string text(kMaxSheetBytes.value() + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (!file.is_open() || file.bad()) {
    return Fail(ErrorKind::kInvalidSheet,
                aPath + " cannot be read: " + std::strerror(errno),
                "check its name and its permissions");
  }
  const auto size = static_cast<std::size_t>(file.gcount());
  if (size == 0 && errno != 0) {
    return Fail(ErrorKind::kInvalidSheet,
                aPath + " cannot be read: " + std::strerror(errno),
                "name a CSV file");
  }
  if (size > kMaxSheetBytes.value()) {
    return Fail(ErrorKind::kTooLarge,
                aPath + " has more than " +
                  std::to_string(kMaxSheetBytes.value()) + " bytes",
                "remove what is not needed");
  }
  text.resize(size);
  return text;
}

} // namespace lacewing
