#ifndef CONFIG_ENCODEDCONFIG_H
#define CONFIG_ENCODEDCONFIG_H

#include "config/BlobMap.h"
#include "config/ConfigHead.h"

namespace lacewing {

/** A head and those of its blobs that have to be written. */
struct EncodedConfig
{
  ConfigHead head;
  BlobMap blobs;
};

} // namespace lacewing

#endif // CONFIG_ENCODEDCONFIG_H
