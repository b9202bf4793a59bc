#ifndef BALANCE_SPLITCURSOR_H
#define BALANCE_SPLITCURSOR_H

#include "catalog/ServiceShare.h"

#include <vector>

namespace lacewing {

/**
 * Distributes a route's requests among its services by smooth weighted round
 * robin, so that each host keeps the weights exactly over any longer sequence.
 * Starts anew when a share's service or weight differs from the last call's.
 */
class SplitCursor
{
public:
  /** Returns the service for the next request; aShares must not be empty. */
  const ServiceId& Next(const std::vector<ServiceShare>& aShares);

private:
  /** The shares that the credits are of. */
  std::vector<ServiceShare> shares_;
  std::vector<double> credit_;
};

} // namespace lacewing

#endif // BALANCE_SPLITCURSOR_H
