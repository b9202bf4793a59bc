#ifndef CONFIG_BLOBHASH_H
#define CONFIG_BLOBHASH_H

#include "lacewing/StrongString.h"

#include <string_view>

namespace lacewing {

/** Content hash of a blob: 32 lower-case hexadecimal digits. */
using BlobHash = StrongString<struct BlobHashTag>;

BlobHash HashOfBlob(std::string_view aBytes);
bool IsBlobHashText(std::string_view aText);

} // namespace lacewing

#endif // CONFIG_BLOBHASH_H
