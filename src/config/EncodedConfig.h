#ifndef CONFIG_ENCODEDCONFIG_H
#define CONFIG_ENCODEDCONFIG_H

#include "config/BlobMap.h"
#include "config/ConfigHead.h"

namespace lacewing {

/** The blobs of a whole configuration and the head that names them. */
struct EncodedConfig
{
  ConfigHead head;
  BlobMap blobs;
};

} // namespace lacewing

#endif // CONFIG_ENCODEDCONFIG_H
