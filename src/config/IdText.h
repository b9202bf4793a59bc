#ifndef CONFIG_IDTEXT_H
#define CONFIG_IDTEXT_H

#include <cstddef>
#include <string_view>

namespace lacewing {

constexpr std::size_t kMaxIdLength = 64;

/** What a valid id looks like, for error messages. */
constexpr const char* kIdRule =
  "1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit";

/** Whether the text may name a service, zone, host or target. */
bool IsIdText(std::string_view aText);

} // namespace lacewing

#endif // CONFIG_IDTEXT_H
