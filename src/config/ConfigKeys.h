#ifndef CONFIG_CONFIGKEYS_H
#define CONFIG_CONFIGKEYS_H

#include "config/BlobHash.h"
#include "config/ObjectName.h"
#include "lacewing/ObjectKey.h"

#include <string>

namespace lacewing {

/** Store key of the head. */
ObjectKey HeadKey();

/** Prefix of the keys of all blobs. */
std::string BlobPrefix();

/** Store key of a blob: "config/blob/<name>/<hash>". */
ObjectKey BlobKey(const ObjectName& aName, const BlobHash& aHash);

} // namespace lacewing

#endif // CONFIG_CONFIGKEYS_H
