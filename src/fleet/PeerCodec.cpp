#include "fleet/PeerCodec.h"

#include "core/CborBounds.h"
#include "core/Deflate.h"
#include "wire/WireValue.h"

#include <nlohmann/json.hpp>

namespace lacewing {

namespace {

constexpr CborBounds kHeartbeatBounds{ ByteCount(65536), 6, 20000 };
constexpr CborBounds kPullResponseBounds{ ByteCount(8U << 20U), 8, 400000 };

template<class Message>
std::string Encode(const Message& aMessage)
{
  std::string bytes;
  nlohmann::json::to_cbor(ToWire(aMessage), bytes);
  return bytes;
}

template<class Message>
Outcome<Message> Decode(std::string_view aBytes, const CborBounds& aBounds)
{
  BOOST_OUTCOME_TRYV(CheckCborBounds(aBytes, aBounds));
  const nlohmann::json json =
    nlohmann::json::from_cbor(aBytes.begin(), aBytes.end(), true, false);
  Message message;
  if (json.is_discarded() || !FromWire(json, message)) {
    return Fail(ErrorKind::kInvalidMessage,
                "cannot decode a message from a peer",
                "check that all hosts run compatible releases");
  }
  return message;
}

} // namespace

std::string EncodeHeartbeat(const PeerHeartbeat& aHeartbeat)
{
  return Encode(aHeartbeat);
}

Outcome<PeerHeartbeat> DecodeHeartbeat(std::string_view aBytes)
{
  return Decode<PeerHeartbeat>(aBytes, kHeartbeatBounds);
}

std::string EncodePullResponse(const CatalogPullResponse& aResponse)
{
  return Deflate(Encode(aResponse));
}

Outcome<CatalogPullResponse> DecodePullResponse(std::string_view aBytes)
{
  BOOST_OUTCOME_TRY(const auto inflated,
                    Inflate(aBytes, kPullResponseBounds.maxBytes));
  return Decode<CatalogPullResponse>(inflated, kPullResponseBounds);
}

} // namespace lacewing
