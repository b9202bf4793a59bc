#ifndef CONFIG_CONFIGKEYS_H
#define CONFIG_CONFIGKEYS_H

#include "config/BlobHash.h"
#include "config/ObjectName.h"
#include "lacewing/ConfigVersion.h"
#include "lacewing/ObjectKey.h"

#include <optional>
#include <string>

namespace lacewing {

/** Store key of the head. */
ObjectKey HeadKey();

/** Prefix of the keys of all blobs. */
std::string BlobPrefix();

/** Store key of a blob: "config/blob/<name>/<hash>". */
ObjectKey BlobKey(const ObjectName& aName, const BlobHash& aHash);

/** Prefix of the lists of retired blobs. */
std::string RetiredPrefix();

/** Store key of the list of blobs that a version no longer needs. */
ObjectKey RetiredKey(ConfigVersion aVersion);

/** The version of a RetiredKey. */
std::optional<ConfigVersion> VersionOfRetiredKey(const ObjectKey& aKey);

} // namespace lacewing

#endif // CONFIG_CONFIGKEYS_H
