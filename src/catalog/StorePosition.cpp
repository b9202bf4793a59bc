#include "catalog/StorePosition.h"

namespace lacewing {

std::string ToString(StorePosition aPosition)
{
  return std::to_string(aPosition.era.value()) + "." +
         std::to_string(aPosition.revision.value());
}

} // namespace lacewing
