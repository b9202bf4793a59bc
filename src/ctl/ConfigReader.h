#ifndef CTL_CONFIGREADER_H
#define CTL_CONFIGREADER_H

#include "config/EncodedConfig.h"
#include "ctl/StoredConfig.h"
#include "lacewing/Outcome.h"
#include "store/ObjectStore.h"

#include <functional>
#include <memory>

namespace lacewing {

using StoredConfigHandler = std::function<void(Outcome<StoredConfig>)>;

/**
 * Reads the whole configuration from the store. Blobs that aLocal (or null)
 * has with the same hash are taken from there, so that a sheet with few
 * changes costs few reads. A missing head gives an empty configuration.
 */
void ReadConfig(ObjectStore& aStore,
                std::shared_ptr<const EncodedConfig> aLocal,
                StoredConfigHandler aHandler);

} // namespace lacewing

#endif // CTL_CONFIGREADER_H
