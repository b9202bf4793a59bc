#ifndef STORE_OBJECTCONDITION_H
#define STORE_OBJECTCONDITION_H

#include "lacewing/ObjectTag.h"

#include <optional>

namespace lacewing {

/** What a conditional write requires of the object's current version. */
struct ObjectCondition
{
  /** The tag that must be current; without one, the object must not exist. */
  std::optional<ObjectTag> currentTag;
};

} // namespace lacewing

#endif // STORE_OBJECTCONDITION_H
