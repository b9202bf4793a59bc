#ifndef CONFIG_BLOBMAP_H
#define CONFIG_BLOBMAP_H

#include "config/ObjectName.h"

#include <map>
#include <string>

namespace lacewing {

/** Bytes of blobs by the name of their object. */
using BlobMap = std::map<ObjectName, std::string>;

} // namespace lacewing

#endif // CONFIG_BLOBMAP_H
