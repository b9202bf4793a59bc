#include "standin/RequestTarget.h"

namespace lacewing {

namespace {

int HexDigit(char aChar)
{
  if (aChar >= '0' && aChar <= '9') {
    return aChar - '0';
  }
  const char lower = static_cast<char>(aChar | 0x20);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string DecodePercent(std::string_view aText)
{
  std::string decoded;
  decoded.reserve(aText.size());
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size() &&
        HexDigit(aText[i + 1]) >= 0 && HexDigit(aText[i + 2]) >= 0) {
      decoded +=
        static_cast<char>(HexDigit(aText[i + 1]) * 16 + HexDigit(aText[i + 2]));
      i += 2;
    } else {
      decoded += aText[i];
    }
  }
  return decoded;
}

} // namespace

RequestTarget RequestTarget::Parse(std::string_view aText)
{
  RequestTarget target;
  const std::size_t mark = aText.find('?');
  target.path = DecodePercent(aText.substr(0, mark));
  if (mark == std::string_view::npos) {
    return target;
  }
  std::string_view rest = aText.substr(mark + 1);
  while (!rest.empty()) {
    const std::size_t end = rest.find('&');
    const std::string_view pair = rest.substr(0, end);
    rest =
      end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    const std::size_t equals = pair.find('=');
    target.query[DecodePercent(pair.substr(0, equals))] =
      equals == std::string_view::npos ? std::string()
                                       : DecodePercent(pair.substr(equals + 1));
  }
  return target;
}

const std::string* RequestTarget::Find(const std::string& aName) const
{
  const auto found = query.find(aName);
  return found == query.end() ? nullptr : &found->second;
}

} // namespace lacewing
