#ifndef STORE_LISTEDHOST_H
#define STORE_LISTEDHOST_H

#include "lacewing/HostId.h"
#include "lacewing/ZoneId.h"

#include <string>

namespace lacewing {

/** One entry of the platform's host list, which lags behind reality. */
struct ListedHost
{
  HostId id;
  /** IPv4 address without a port. */
  std::string address;
  ZoneId zone;
  bool leaving = false;
};

} // namespace lacewing

#endif // STORE_LISTEDHOST_H
