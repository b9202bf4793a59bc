#ifndef LACEWING_ENDPOINT_H
#define LACEWING_ENDPOINT_H

#include "lacewing/Outcome.h"

#include <cstdint>
#include <string>

namespace lacewing {

/** An IP address and a port, written "127.0.0.1:8080". */
struct Endpoint
{
  std::string address;
  std::uint16_t port = 0;

  /** Parses "ADDRESS:PORT"; the address must be an IPv4 number. */
  static Outcome<Endpoint> Parse(const std::string& aText);

  std::string ToString() const;

  friend bool operator==(const Endpoint& aLeft, const Endpoint& aRight)
  {
    return aLeft.port == aRight.port && aLeft.address == aRight.address;
  }
  friend bool operator!=(const Endpoint& aLeft, const Endpoint& aRight)
  {
    return !(aLeft == aRight);
  }
};

} // namespace lacewing

#endif // LACEWING_ENDPOINT_H
