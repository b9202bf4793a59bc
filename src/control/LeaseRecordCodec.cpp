#include "control/LeaseRecordCodec.h"

#include "net/FrameCodec.h"
#include "wire/WireValue.h"

#include <tuple>

namespace lacewing {

namespace {

/** The fields of a lease object. */
constexpr auto LeaseMembers()
{
  return std::make_tuple(WireMember{ "holder", &LeaseRecord::holder },
                         WireMember{ "epoch", &LeaseRecord::epoch },
                         WireMember{ "token", &LeaseRecord::token },
                         WireMember{ "released", &LeaseRecord::released });
}

} // namespace

ObjectKey LeaseKey(ShardId aShard)
{
  return ObjectKey("lease/" + std::to_string(aShard.value()));
}

std::string EncodeLease(const LeaseRecord& aRecord)
{
  nlohmann::json map = nlohmann::json::object();
  std::apply(
    [&](const auto&... aRows) {
      ((map[aRows.key] = ToWire(aRecord.*aRows.member)), ...);
    },
    LeaseMembers());
  return EncodeFrame(map);
}

Outcome<LeaseRecord> DecodeLease(const std::string& aBytes)
{
  BOOST_OUTCOME_TRY(const auto map, DecodeFrame(aBytes));
  LeaseRecord record;
  const auto read = [&](const auto& aRow) {
    const auto entry = map.find(aRow.key);
    return entry != map.end() && FromWire(*entry, record.*aRow.member);
  };
  const bool valid = std::apply(
    [&](const auto&... aRows) { return (read(aRows) && ...); }, LeaseMembers());
  if (!valid) {
    return Fail(ErrorKind::kInvalidMessage,
                "a lease object lacks a field or has a bad one",
                "it is replaced when the lease time has passed");
  }
  return record;
}

} // namespace lacewing
