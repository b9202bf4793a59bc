#ifndef TESTS_SOAK_SOAKNETWORK_H
#define TESTS_SOAK_SOAKNETWORK_H

#include "lacewing/Endpoint.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace lacewing {

/**
 * Addresses of one soak run: a block of 127.0.0.0/8 derived from the process
 * id, so that concurrent runs use different addresses.
 */
class SoakNetwork
{
public:
  SoakNetwork();

  /** IP address of the host with the given index. */
  std::string HostAddress(std::size_t aIndex) const;

  /** Returns an endpoint that this object has not returned before. */
  Endpoint Next();

private:
  std::string block_;
  std::uint16_t lastPort_;
};

} // namespace lacewing

#endif // TESTS_SOAK_SOAKNETWORK_H
