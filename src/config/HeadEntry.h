#ifndef CONFIG_HEADENTRY_H
#define CONFIG_HEADENTRY_H

#include "config/BlobHash.h"
#include "lacewing/ObjectKey.h"

namespace lacewing {

/** Where the head finds one object of the configuration. */
struct HeadEntry
{
  BlobHash hash;
  ObjectKey key;

  friend bool operator==(const HeadEntry& aLeft, const HeadEntry& aRight)
  {
    return aLeft.hash == aRight.hash && aLeft.key == aRight.key;
  }
};

} // namespace lacewing

#endif // CONFIG_HEADENTRY_H
