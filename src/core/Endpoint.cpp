#include "lacewing/Endpoint.h"

#include <arpa/inet.h>
#include <charconv>

namespace lacewing {

Outcome<Endpoint> Endpoint::Parse(const std::string& aText)
{
  const auto refuse = [&aText] {
    return Fail(ErrorKind::kInvalidArgument,
                "\"" + aText + "\" is not an address and a port",
                "write an IPv4 address and a port, as in 127.0.0.1:8080");
  };
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return refuse();
  }
  Endpoint endpoint;
  endpoint.address = aText.substr(0, colon);
  in_addr parsed{};
  if (inet_pton(AF_INET, endpoint.address.c_str(), &parsed) != 1) {
    return refuse();
  }
  const char* first = aText.data() + colon + 1;
  const char* last = aText.data() + aText.size();
  const auto [end, error] = std::from_chars(first, last, endpoint.port);
  if (error != std::errc() || end != last || endpoint.port == 0) {
    return refuse();
  }
  return endpoint;
}

std::string Endpoint::ToString() const
{
  return address + ":" + std::to_string(port);
}

} // namespace lacewing
