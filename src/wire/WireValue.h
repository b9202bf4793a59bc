#ifndef WIRE_WIREVALUE_H
#define WIRE_WIREVALUE_H

#include "decision/TargetPhase.h"
#include "lacewing/Clock.h"
#include "lacewing/StrongNumber.h"
#include "lacewing/StrongString.h"
#include "wire/OptionalWireMember.h"
#include "wire/WireBytes.h"
#include "wire/WireMember.h"
#include "wire/WireRole.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <string>
#include <tuple>
#include <type_traits>
#include <vector>

namespace lacewing {

/**
 * Entries of one list. A frame of 1 MiB cannot hold more entries of any
 * message, so a longer list is an attack on memory.
 */
constexpr std::size_t kMaxWireEntries = 65536;

/** Converts values to and from CBOR; FromWire returns false on a bad value. */
nlohmann::json ToWire(const std::string& aValue);
nlohmann::json ToWire(bool aValue);
nlohmann::json ToWire(Duration aValue);
nlohmann::json ToWire(const WireBytes& aValue);
nlohmann::json ToWire(TargetPhase aValue);
nlohmann::json ToWire(WireRole aValue);
bool FromWire(const nlohmann::json& aJson, std::string& aValue);
bool FromWire(const nlohmann::json& aJson, bool& aValue);
bool FromWire(const nlohmann::json& aJson, Duration& aValue);
bool FromWire(const nlohmann::json& aJson, WireBytes& aValue);
bool FromWire(const nlohmann::json& aJson, TargetPhase& aValue);
bool FromWire(const nlohmann::json& aJson, WireRole& aValue);

inline nlohmann::json ToWire(std::uint32_t aValue)
{
  return aValue;
}

inline bool FromWire(const nlohmann::json& aJson, std::uint32_t& aValue)
{
  if (!aJson.is_number_unsigned() ||
      aJson.get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max()) {
    return false;
  }
  aValue = aJson.get<std::uint32_t>();
  return true;
}

template<class Tag>
nlohmann::json ToWire(const StrongString<Tag>& aValue)
{
  return aValue.value();
}

template<class Tag>
bool FromWire(const nlohmann::json& aJson, StrongString<Tag>& aValue)
{
  std::string text;
  if (!FromWire(aJson, text)) {
    return false;
  }
  aValue = StrongString<Tag>(std::move(text));
  return true;
}

template<class Tag, class Rep>
nlohmann::json ToWire(StrongNumber<Tag, Rep> aValue)
{
  return aValue.value();
}

template<class Tag, class Rep>
bool FromWire(const nlohmann::json& aJson, StrongNumber<Tag, Rep>& aValue)
{
  if (!aJson.is_number_unsigned() ||
      aJson.get<std::uint64_t>() > std::numeric_limits<Rep>::max()) {
    return false;
  }
  aValue = StrongNumber<Tag, Rep>(aJson.get<Rep>());
  return true;
}

/** Messages and their parts: a map with one key for each table row. */
template<class Type, class = decltype(Type::WireMembers())>
nlohmann::json ToWire(const Type& aValue);
template<class Type, class = decltype(Type::WireMembers())>
bool FromWire(const nlohmann::json& aJson, Type& aValue);

template<class Type>
nlohmann::json ToWire(const std::vector<Type>& aValues)
{
  nlohmann::json list = nlohmann::json::array();
  for (const Type& value : aValues) {
    list.push_back(ToWire(value));
  }
  return list;
}

template<class Type>
bool FromWire(const nlohmann::json& aJson, std::vector<Type>& aValues)
{
  if (!aJson.is_array() || aJson.size() > kMaxWireEntries) {
    return false;
  }
  aValues.clear();
  aValues.reserve(aJson.size());
  for (const nlohmann::json& entry : aJson) {
    if (!FromWire(entry, aValues.emplace_back())) {
      return false;
    }
  }
  return true;
}

/** Writes one row of a field table into aMap, and reads it from there. */
template<class Type, class Member>
void WriteRow(nlohmann::json& aMap,
              const Type& aValue,
              const WireMember<Type, Member>& aRow)
{
  aMap[aRow.key] = ToWire(aValue.*aRow.member);
}

template<class Type, class Member>
void WriteRow(nlohmann::json& aMap,
              const Type& aValue,
              const OptionalWireMember<Type, Member>& aRow)
{
  const Member& list = aValue.*aRow.member;
  if (!list.empty()) {
    aMap[aRow.key] = ToWire(list);
  }
}

template<class Type, class Member>
bool ReadRow(const nlohmann::json& aMap,
             Type& aValue,
             const WireMember<Type, Member>& aRow)
{
  const auto entry = aMap.find(aRow.key);
  return entry != aMap.end() && FromWire(*entry, aValue.*aRow.member);
}

template<class Type, class Member>
bool ReadRow(const nlohmann::json& aMap,
             Type& aValue,
             const OptionalWireMember<Type, Member>& aRow)
{
  const auto entry = aMap.find(aRow.key);
  return entry == aMap.end() || FromWire(*entry, aValue.*aRow.member);
}

template<class Type, class>
nlohmann::json ToWire(const Type& aValue)
{
  nlohmann::json map = nlohmann::json::object();
  std::apply([&](const auto&... aRows) { (WriteRow(map, aValue, aRows), ...); },
             Type::WireMembers());
  return map;
}

template<class Type, class>
bool FromWire(const nlohmann::json& aJson, Type& aValue)
{
  return aJson.is_object() && std::apply(
                                [&](const auto&... aRows) {
                                  return (ReadRow(aJson, aValue, aRows) && ...);
                                },
                                Type::WireMembers());
}

} // namespace lacewing

#endif // WIRE_WIREVALUE_H
