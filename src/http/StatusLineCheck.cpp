#include "http/StatusLineCheck.h"

#include "http/StatusLine.h"

namespace lacewing {

void StatusLineCheck::Read(std::string_view aBytes)
{
  for (const char byte : aBytes) {
    const bool lineEnd = byte == '\r' || byte == '\n';
    if (lineEnd && prefix_.empty()) {
      continue;
    }
    if (!lineEnd) {
      prefix_ += byte;
    }
    if (lineEnd || prefix_.size() == kStatusPrefixSize) {
      done_ = true;
      failed_ = !ReadStatus(prefix_);
      return;
    }
  }
}

} // namespace lacewing
