#ifndef DECISION_GRANTRETURN_H
#define DECISION_GRANTRETURN_H

#include "decision/GrantAsker.h"
#include "decision/GrantId.h"
#include "lacewing/TargetId.h"

namespace lacewing {

/**
 * Content of a grant_return message: the asker has no request in progress at
 * the target and sends none under grants up to and including lastGrant.
 */
struct GrantReturn
{
  GrantAsker asker;
  TargetId target;
  GrantId lastGrant;
};

} // namespace lacewing

#endif // DECISION_GRANTRETURN_H
