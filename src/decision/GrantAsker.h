#ifndef DECISION_GRANTASKER_H
#define DECISION_GRANTASKER_H

#include "lacewing/HostId.h"
#include "lacewing/Incarnation.h"

#include <tuple>

namespace lacewing {

/** One run of an entryd that asks for grants. */
struct GrantAsker
{
  HostId host;
  Incarnation incarnation;

  friend bool operator<(const GrantAsker& aLeft, const GrantAsker& aRight)
  {
    return std::tie(aLeft.host, aLeft.incarnation) <
           std::tie(aRight.host, aRight.incarnation);
  }
  friend bool operator==(const GrantAsker& aLeft, const GrantAsker& aRight)
  {
    return aLeft.host == aRight.host && aLeft.incarnation == aRight.incarnation;
  }
};

} // namespace lacewing

#endif // DECISION_GRANTASKER_H
