#ifndef ROLLOUT_ORDERID_H
#define ROLLOUT_ORDERID_H

#include "lacewing/Revision.h"
#include "lacewing/ServiceId.h"
#include "lacewing/ServiceVersion.h"
#include "wire/WireMember.h"

#include <tuple>

namespace lacewing {

/**
 * Identifies one order of a rollout. An order that an operator deleted and
 * created again is another one, even for the same version.
 */
struct OrderId
{
  ServiceId service;
  /** What the store states as the creation of the order's object. */
  Revision created;
  /** The version to roll out. */
  ServiceVersion version;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(WireMember{ "s", &OrderId::service },
                           WireMember{ "c", &OrderId::created },
                           WireMember{ "v", &OrderId::version });
  }

  friend bool operator==(const OrderId& aLeft, const OrderId& aRight)
  {
    return aLeft.service == aRight.service && aLeft.created == aRight.created &&
           aLeft.version == aRight.version;
  }
  friend bool operator!=(const OrderId& aLeft, const OrderId& aRight)
  {
    return !(aLeft == aRight);
  }
  friend bool operator<(const OrderId& aLeft, const OrderId& aRight)
  {
    return std::tie(aLeft.service, aLeft.created, aLeft.version) <
           std::tie(aRight.service, aRight.created, aRight.version);
  }
};

} // namespace lacewing

#endif // ROLLOUT_ORDERID_H
