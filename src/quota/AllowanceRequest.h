#ifndef QUOTA_ALLOWANCEREQUEST_H
#define QUOTA_ALLOWANCEREQUEST_H

#include "lacewing/CustomerId.h"
#include "quota/AllowanceSequence.h"
#include "quota/TokenCount.h"
#include "wire/HostAddress.h"
#include "wire/WireMember.h"

#include <tuple>

namespace lacewing {

/** A host's request for tokens of a customer, sent to the allowance owner. */
struct AllowanceRequest
{
  HostAddress from;
  CustomerId customer;
  /** A repeated message has the same sequence and is granted only once. */
  AllowanceSequence sequence;
  /** Number of requests that wait for a token. */
  TokenCount waiting;
  /** Further tokens that the host expects to use within their validity. */
  TokenCount spare;
  /** Tokens of earlier grants that the host did not use and gives back. */
  TokenCount unused;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(WireMember{ "f", &AllowanceRequest::from },
                           WireMember{ "c", &AllowanceRequest::customer },
                           WireMember{ "s", &AllowanceRequest::sequence },
                           WireMember{ "w", &AllowanceRequest::waiting },
                           WireMember{ "x", &AllowanceRequest::spare },
                           WireMember{ "b", &AllowanceRequest::unused });
  }
};

} // namespace lacewing

#endif // QUOTA_ALLOWANCEREQUEST_H
