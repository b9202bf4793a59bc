#ifndef FLEET_PEERCODEC_H
#define FLEET_PEERCODEC_H

#include "catalog/CatalogChanges.h"
#include "fleet/CatalogPull.h"
#include "fleet/PeerBeat.h"
#include "lacewing/Outcome.h"

#include <string>
#include <string_view>

namespace lacewing {

/**
 * Messages between hosts as CBOR; pulls are packed, since a configuration of
 * some hundred routes would hold a slow link for seconds. Errors are
 * kInvalidMessage and kTooLarge.
 */
std::string EncodeBeat(const PeerBeat& aBeat);
Outcome<PeerBeat> DecodeBeat(std::string_view aBytes);
std::string EncodePull(const CatalogPull& aPull);
Outcome<CatalogPull> DecodePull(std::string_view aBytes);

} // namespace lacewing

#endif // FLEET_PEERCODEC_H
