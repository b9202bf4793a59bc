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
 * Encodes and decodes the messages between hosts as CBOR. Pull responses are
 * compressed too, since a configuration of some hundred routes would occupy a
 * slow link for seconds. Errors are kInvalidMessage and kTooLarge.
 */
std::string EncodeHeartbeat(const PeerHeartbeat& aHeartbeat);
Outcome<PeerHeartbeat> DecodeHeartbeat(std::string_view aBytes);
std::string EncodePullResponse(const CatalogPullResponse& aResponse);
Outcome<CatalogPullResponse> DecodePullResponse(std::string_view aBytes);

} // namespace lacewing

#endif // FLEET_PEERCODEC_H
