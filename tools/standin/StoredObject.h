#ifndef STANDIN_STOREDOBJECT_H
#define STANDIN_STOREDOBJECT_H

#include "lacewing/ObjectTag.h"

#include <memory>
#include <string>

namespace lacewing {

/** One version of an object in the stand-in's memory. */
struct StoredObject
{
  std::shared_ptr<const std::string> body;
  ObjectTag tag;
};

} // namespace lacewing

#endif // STANDIN_STOREDOBJECT_H
