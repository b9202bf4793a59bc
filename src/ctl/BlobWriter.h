#ifndef CTL_BLOBWRITER_H
#define CTL_BLOBWRITER_H

#include "lacewing/ObjectKey.h"
#include "lacewing/Outcome.h"
#include "store/ObjectStore.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace lacewing {

/**
 * Creates the blobs, whose keys name their content; gives the keys of those
 * that were in the store already. Fails with the store's error.
 */
void WriteBlobs(ObjectStore& aStore,
                std::map<ObjectKey, std::string> aBlobs,
                std::function<void(Outcome<std::set<ObjectKey>>)> aHandler);

} // namespace lacewing

#endif // CTL_BLOBWRITER_H
