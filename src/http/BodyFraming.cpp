#include "http/BodyFraming.h"

#include "http/TrimBlanks.h"

#include <string_view>

namespace lacewing {

namespace {

bool IsNumber(std::string_view aText)
{
  return !aText.empty() &&
         aText.find_first_not_of("0123456789") == std::string_view::npos;
}

} // namespace

bool HasClearFraming(const HttpFields& aFields)
{
  unsigned framings = 0;
  for (const HttpField& field : aFields) {
    const std::string_view value = TrimBlanks(field.value);
    if (SameFieldName(field.name, "Transfer-Encoding")) {
      ++framings;
      if (!SameFieldName(value, "chunked")) {
        return false;
      }
    } else if (SameFieldName(field.name, "Content-Length")) {
      ++framings;
      if (!IsNumber(value)) {
        return false;
      }
    }
  }
  return framings <= 1;
}

} // namespace lacewing
