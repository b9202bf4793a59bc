#ifndef CONFIG_BLOBCODEC_H
#define CONFIG_BLOBCODEC_H

#include "config/Configuration.h"
#include "lacewing/Outcome.h"

#include <string>
#include <string_view>

namespace lacewing {

/**
 * The blobs as CBOR: equal values give equal bytes, so that the content hash
 * tells whether an object changed. Encoding fails with kTooLarge beyond 1 MB,
 * decoding with kTooLarge or kInvalidMessage.
 */
Outcome<std::string> EncodeService(const ServiceConfig& aService);
Outcome<ServiceConfig> DecodeService(std::string_view aBytes);

Outcome<std::string> EncodeZones(const std::map<ZoneId, ZoneConfig>& aZones);
Outcome<std::map<ZoneId, ZoneConfig>> DecodeZones(std::string_view aBytes);

Outcome<std::string> EncodeHosts(const std::map<HostId, HostConfig>& aHosts);
Outcome<std::map<HostId, HostConfig>> DecodeHosts(std::string_view aBytes);

} // namespace lacewing

#endif // CONFIG_BLOBCODEC_H
