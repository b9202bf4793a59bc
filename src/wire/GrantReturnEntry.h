#ifndef WIRE_GRANTRETURNENTRY_H
#define WIRE_GRANTRETURNENTRY_H

#include "decision/GrantId.h"
#include "lacewing/HostId.h"
#include "lacewing/Incarnation.h"
#include "lacewing/TargetId.h"
#include "wire/WireMember.h"

#include <tuple>

namespace lacewing {

/**
 * Gives back the grants of a target up to lastGrant; no request that was
 * sent under them is in progress. See GrantReturn.
 */
struct GrantReturnEntry
{
  /** Host of the asker, also when another host passes the message on. */
  HostId host;
  /** Run of the asking entryd. */
  Incarnation incarnation;
  TargetId target;
  GrantId lastGrant;

  static constexpr auto WireMembers()
  {
    return std::make_tuple(
      WireMember{ "host", &GrantReturnEntry::host },
      WireMember{ "incarnation", &GrantReturnEntry::incarnation },
      WireMember{ "target", &GrantReturnEntry::target },
      WireMember{ "last_grant", &GrantReturnEntry::lastGrant });
  }
};

} // namespace lacewing

#endif // WIRE_GRANTRETURNENTRY_H
