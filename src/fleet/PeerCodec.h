#ifndef FLEET_PEERCODEC_H
#define FLEET_PEERCODEC_H

#include "catalog/CatalogChanges.h"
#include "fleet/CatalogPullResponse.h"
#include "fleet/PeerHeartbeat.h"
#include "lacewing/Outcome.h"

#include <string>
#include <string_view>

namespace lacewing {

/**
 * Messages between hosts as CBOR; pulls are packed, since a configuration of
 * some hundred routes would hold a slow link for seconds. Errors are
 * kInvalidMessage and kTooLarge.
 */
std::string EncodeHeartbeat(const PeerHeartbeat& aHeartbeat);
Outcome<PeerHeartbeat> DecodeHeartbeat(std::string_view aBytes);
std::string EncodePullResponse(const CatalogPullResponse& aPull);
Outcome<CatalogPullResponse> DecodePullResponse(std::string_view aBytes);

} // namespace lacewing

#endif // FLEET_PEERCODEC_H
