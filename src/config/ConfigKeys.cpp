#include "config/ConfigKeys.h"

namespace lacewing {

ObjectKey HeadKey()
{
  return ObjectKey("config/head");
}

std::string BlobPrefix()
{
  return "config/blob/";
}

ObjectKey BlobKey(const ObjectName& aName, const BlobHash& aHash)
{
  return ObjectKey(BlobPrefix() + aName.value() + "/" + aHash.value());
}

} // namespace lacewing
