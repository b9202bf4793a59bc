#include "quota/AllowanceMessage.h"

#include "core/CborBounds.h"
#include "quota/AllowanceTerms.h"
#include "wire/WireValue.h"

#include <nlohmann/json.hpp>

namespace lacewing {

namespace {

// A name of a customer takes up to 512 bytes.
constexpr CborBounds kBounds{ ByteCount(1024), 4, 64 };
constexpr const char* kKind = "t";
constexpr std::uint32_t kRequestKind = 1;
constexpr std::uint32_t kGrantKind = 2;
// A host has fewer requests at once; a larger number would empty any bucket.
constexpr TokenCount kMostTokens{ 65536 };
constexpr Duration kLongestRetryAfter = std::chrono::hours(1);

bool IsInRange(const AllowanceRequest& aRequest)
{
  return !(kMostTokens < aRequest.waiting) && !(kMostTokens < aRequest.spare) &&
         !(kMostTokens < aRequest.unused);
}

bool IsInRange(const AllowanceGrant& aGrant)
{
  return !(kMostTokens < aGrant.tokens) && aGrant.ask.size() <= 1 &&
         aGrant.validFor >= Duration(0) &&
         aGrant.validFor <= AllowanceTerms::kValidity &&
         aGrant.retryAfter >= Duration(0) &&
         aGrant.retryAfter <= kLongestRetryAfter;
}

template<class Message>
Outcome<AllowanceMessage> Read(const nlohmann::json& aJson)
{
  Message message;
  if (!FromWire(aJson, message) || !IsInRange(message)) {
    return Fail(ErrorKind::kInvalidMessage,
                "cannot decode a message about a customer's tokens",
                "check that all hosts run compatible releases");
  }
  return AllowanceMessage(std::move(message));
}

template<class Message>
std::string Write(const Message& aMessage, std::uint32_t aKind)
{
  nlohmann::json json = ToWire(aMessage);
  json[kKind] = aKind;
  std::string bytes;
  nlohmann::json::to_cbor(json, bytes);
  return bytes;
}

} // namespace

std::string EncodeAllowanceMessage(const AllowanceMessage& aMessage)
{
  if (const auto* request = std::get_if<AllowanceRequest>(&aMessage)) {
    return Write(*request, kRequestKind);
  }
  return Write(std::get<AllowanceGrant>(aMessage), kGrantKind);
}

Outcome<AllowanceMessage> DecodeAllowanceMessage(std::string_view aBytes)
{
  BOOST_OUTCOME_TRYV(CheckCborBounds(aBytes, kBounds));
  const nlohmann::json json =
    nlohmann::json::from_cbor(aBytes.begin(), aBytes.end(), true, false);
  const auto kind = json.is_object() ? json.find(kKind) : json.end();
  const bool isRequest = kind != json.end() && *kind == kRequestKind;
  return isRequest ? Read<AllowanceRequest>(json) : Read<AllowanceGrant>(json);
}

} // namespace lacewing
