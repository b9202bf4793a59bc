#ifndef BALANCE_SPLITCURSOR_H
#define BALANCE_SPLITCURSOR_H

#include "catalog/ServiceShare.h"

#include <vector>

namespace lacewing {

/**
 * Deals a route's requests to its services by smooth weighted round robin, so
 * that each host keeps the weights exactly over any longer span.
 */
class SplitCursor
{
public:
  /** The service of the next request; aShares must not be empty. */
  const ServiceId& Next(const std::vector<ServiceShare>& aShares);

private:
  std::vector<double> credit_;
};

} // namespace lacewing

#endif // BALANCE_SPLITCURSOR_H
