#ifndef QUOTA_ALLOWANCEGRANT_H
#define QUOTA_ALLOWANCEGRANT_H

#include "lacewing/Clock.h"
#include "lacewing/CustomerId.h"
#include "quota/AllowanceSequence.h"
#include "quota/TokenCount.h"
#include "wire/HostAddress.h"
#include "wire/OptionalWireMember.h"
#include "wire/WireMember.h"

#include <tuple>
#include <vector>

namespace lacewing {

/** The reply to an AllowanceRequest. */
struct AllowanceGrant
{
  CustomerId customer;
  /** The sequence of the request. */
  AllowanceSequence sequence;
  TokenCount tokens;
  /** Counts from the moment at which the host sent its request. */
  Duration validFor{ 0 };
  /** For waiting requests without a token: when the first may return. */
  Duration retryAfter{ 0 };
  /** Whether the sender considers itself the owner. */
  bool owner = false;
  /** The owner in the sender's view, if it is another host; at most one. */
  std::vector<HostAddress> ask;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(WireMember{ "c", &AllowanceGrant::customer },
                           WireMember{ "s", &AllowanceGrant::sequence },
                           WireMember{ "n", &AllowanceGrant::tokens },
                           WireMember{ "v", &AllowanceGrant::validFor },
                           WireMember{ "r", &AllowanceGrant::retryAfter },
                           WireMember{ "o", &AllowanceGrant::owner },
                           OptionalWireMember{ "k", &AllowanceGrant::ask });
  }
};

} // namespace lacewing

#endif // QUOTA_ALLOWANCEGRANT_H
