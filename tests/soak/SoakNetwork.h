#ifndef TESTS_SOAK_SOAKNETWORK_H
#define TESTS_SOAK_SOAKNETWORK_H

#include "lacewing/Endpoint.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace lacewing {

/**
 * Addresses of one run: a block of 127.0.0.0/8 that follows from the process's
 * id, so that runs beside each other do not meet.
 */
class SoakNetwork
{
public:
  SoakNetwork();

  std::string HostAddress(std::size_t aIndex) const;

  /** An address that was not given out before. */
  Endpoint Next();

private:
  std::string block_;
  std::uint16_t lastPort_;
};

} // namespace lacewing

#endif // TESTS_SOAK_SOAKNETWORK_H
