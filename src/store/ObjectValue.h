#ifndef STORE_OBJECTVALUE_H
#define STORE_OBJECTVALUE_H

#include "lacewing/ObjectTag.h"

#include <string>

namespace lacewing {

/** One version of a stored object. */
struct ObjectValue
{
  std::string body;
  ObjectTag tag;
};

} // namespace lacewing

#endif // STORE_OBJECTVALUE_H
