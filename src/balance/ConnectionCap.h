#ifndef BALANCE_CONNECTIONCAP_H
#define BALANCE_CONNECTIONCAP_H

#include "lacewing/ConnectionCount.h"

#include <optional>

namespace lacewing {

/**
 * How many connections one of aHosts hosts may have open to a target that
 * accepts aMax from all of them together; empty without a limit.
 */
std::optional<ConnectionCount> ConnectionCap(
  std::optional<ConnectionCount> aMax,
  unsigned aHosts);

} // namespace lacewing

#endif // BALANCE_CONNECTIONCAP_H
