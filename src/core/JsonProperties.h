#ifndef CORE_JSONPROPERTIES_H
#define CORE_JSONPROPERTIES_H

#include "core/JsonProperty.h"
#include "lacewing/Outcome.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <string>
#include <utility>

namespace lacewing {

namespace detail {

inline bool ReadJson(const nlohmann::json& aJson, bool& aValue)
{
  return aJson.is_boolean() && (aJson.get_to(aValue), true);
}

inline bool ReadJson(const nlohmann::json& aJson, double& aValue)
{
  return aJson.is_number() && (aJson.get_to(aValue), true);
}

inline bool ReadJson(const nlohmann::json& aJson, std::string& aValue)
{
  return aJson.is_string() && (aJson.get_to(aValue), true);
}

inline bool ReadJson(const nlohmann::json& aJson, std::uint64_t& aValue)
{
  return aJson.is_number_unsigned() && (aJson.get_to(aValue), true);
}

inline bool ReadJson(const nlohmann::json& aJson, std::uint32_t& aValue)
{
  std::uint64_t wide = 0;
  if (!ReadJson(aJson, wide) ||
      wide > std::numeric_limits<std::uint32_t>::max()) {
    return false;
  }
  aValue = static_cast<std::uint32_t>(wide);
  return true;
}

inline bool ReadJson(const nlohmann::json& aJson, Duration& aValue)
{
  // A year; beyond it the conversion to nanoseconds may overflow.
  constexpr double kMaxMilliseconds = 3.2e10;
  double milliseconds = 0;
  if (!ReadJson(aJson, milliseconds) || !(milliseconds >= 0) ||
      milliseconds > kMaxMilliseconds) {
    return false;
  }
  aValue = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(milliseconds));
  return true;
}

template<class Tag, class Rep>
bool ReadJson(const nlohmann::json& aJson, StrongNumber<Tag, Rep>& aValue)
{
  Rep number = 0;
  if (!ReadJson(aJson, number)) {
    return false;
  }
  aValue = StrongNumber<Tag, Rep>(number);
  return true;
}

inline bool ReadJson(const nlohmann::json& aJson, Endpoint& aValue)
{
  std::string text;
  if (!ReadJson(aJson, text)) {
    return false;
  }
  Outcome<Endpoint> endpoint = Endpoint::Parse(text);
  return endpoint && (aValue = std::move(endpoint).value(), true);
}

template<class Tag>
bool ReadJson(const nlohmann::json& aJson, StrongString<Tag>& aValue)
{
  std::string text;
  if (!ReadJson(aJson, text)) {
    return false;
  }
  aValue = StrongString<Tag>(std::move(text));
  return true;
}

template<class T>
nlohmann::json WriteJson(const T& aValue)
{
  return aValue;
}

inline nlohmann::json WriteJson(const Endpoint& aValue)
{
  return aValue.ToString();
}

inline nlohmann::json WriteJson(const Duration& aValue)
{
  return std::chrono::duration<double, std::milli>(aValue).count();
}

template<class Tag, class Rep>
nlohmann::json WriteJson(const StrongNumber<Tag, Rep>& aValue)
{
  return aValue.value();
}

template<class Tag>
nlohmann::json WriteJson(const StrongString<Tag>& aValue)
{
  return aValue.value();
}

} // namespace detail

/** Sets the members of aOwner that aJson names; all of them or none. */
template<class Owner, class Table>
Outcome<void> SetProperties(Owner& aOwner,
                            const Table& aTable,
                            const nlohmann::json& aJson)
{
  if (!aJson.is_object()) {
    return Fail(ErrorKind::kInvalidArgument,
                "the properties are not a JSON object",
                "send an object, as in {\"slow_ms\": 20}");
  }
  Owner changed = aOwner;
  for (const auto& [name, value] : aJson.items()) {
    const JsonProperty<Owner>* found = nullptr;
    for (const JsonProperty<Owner>& property : aTable) {
      if (name == property.name) {
        found = &property;
      }
    }
    if (!found) {
      return Fail(ErrorKind::kInvalidArgument,
                  "there is no property \"" + name + "\"",
                  "use a name that a GET of the properties shows");
    }
    const bool read = std::visit(
      [&changed, &json = value](auto aMember) {
        return detail::ReadJson(json, changed.*aMember);
      },
      found->member);
    if (!read) {
      return Fail(ErrorKind::kInvalidArgument,
                  "\"" + name + "\" cannot be " + value.dump(),
                  "give a value of the property's type and range");
    }
  }
  aOwner = std::move(changed);
  return outcome::success();
}

/** All members of the table as a JSON object. */
template<class Owner, class Table>
nlohmann::json GetProperties(const Owner& aOwner, const Table& aTable)
{
  nlohmann::json json = nlohmann::json::object();
  for (const JsonProperty<Owner>& property : aTable) {
    json[property.name] = std::visit(
      [&aOwner](auto aMember) { return detail::WriteJson(aOwner.*aMember); },
      property.member);
  }
  return json;
}

} // namespace lacewing

#endif // CORE_JSONPROPERTIES_H
