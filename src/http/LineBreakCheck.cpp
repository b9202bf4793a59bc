#include "http/LineBreakCheck.h"

namespace lacewing {

void LineBreakCheck::ReadFields(std::string_view aBytes)
{
  inFields_ = true;
  for (const char byte : aBytes) {
    broken_ |= last_ == '\r' && byte != '\n';
    folded_ |= last_ == '\n' && (byte == ' ' || byte == '\t');
    last_ = byte;
  }
}

void LineBreakCheck::ReadBody(std::string_view aBytes, bool aEndsLine)
{
  if (aBytes.empty()) {
    return;
  }
  // http_parser ends the head in front of its last line feed.
  broken_ |= inFields_ && last_ == '\r' && aBytes.front() != '\n';
  inFields_ = false;
  if (aEndsLine) {
    const char before = aBytes.size() > 1 ? aBytes[aBytes.size() - 2] : last_;
    broken_ |= before != '\r' || aBytes.back() != '\n';
  }
  last_ = aBytes.back();
}

} // namespace lacewing
