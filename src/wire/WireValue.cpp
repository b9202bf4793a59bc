#include "wire/WireValue.h"

#include <array>
#include <utility>

namespace lacewing {

namespace {

constexpr std::array<std::pair<TargetPhase, const char*>, 3> kPhases = {
  { { TargetPhase::kCold, "cold" },
    { TargetPhase::kRamping, "ramping" },
    { TargetPhase::kWarm, "warm" } }
};

constexpr std::array<std::pair<WireRole, const char*>, 2> kRoles = {
  { { WireRole::kEntry, "entryd" }, { WireRole::kControl, "controld" } }
};

template<class Table, class Value>
nlohmann::json NameOf(const Table& aTable, Value aValue)
{
  for (const auto& [value, name] : aTable) {
    if (value == aValue) {
      return name;
    }
  }
  return nullptr;
}

template<class Table, class Value>
bool ValueOf(const Table& aTable, const nlohmann::json& aJson, Value& aValue)
{
  for (const auto& [value, name] : aTable) {
    if (aJson == name) {
      aValue = value;
      return true;
    }
  }
  return false;
}

} // namespace

nlohmann::json ToWire(const std::string& aValue)
{
  return aValue;
}

nlohmann::json ToWire(bool aValue)
{
  return aValue;
}

nlohmann::json ToWire(Duration aValue)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(aValue).count();
}

nlohmann::json ToWire(const WireBytes& aValue)
{
  return nlohmann::json::binary(
    std::vector<std::uint8_t>(aValue.value().begin(), aValue.value().end()));
}

nlohmann::json ToWire(TargetPhase aValue)
{
  return NameOf(kPhases, aValue);
}

nlohmann::json ToWire(WireRole aValue)
{
  return NameOf(kRoles, aValue);
}

bool FromWire(const nlohmann::json& aJson, std::string& aValue)
{
  if (!aJson.is_string()) {
    return false;
  }
  aValue = aJson.get_ref<const std::string&>();
  return true;
}

bool FromWire(const nlohmann::json& aJson, bool& aValue)
{
  if (!aJson.is_boolean()) {
    return false;
  }
  aValue = aJson.get<bool>();
  return true;
}

bool FromWire(const nlohmann::json& aJson, Duration& aValue)
{
  // Times on a monotonic clock count from the start of the machine; longer
  // ones do not occur and could overflow in sums.
  constexpr std::chrono::hours kLongest(24 * 365 * 20);
  if (!aJson.is_number_integer()) {
    return false;
  }
  constexpr std::int64_t kLongestCount =
    std::chrono::microseconds(kLongest).count();
  if (aJson.is_number_unsigned()
        ? aJson.get<std::uint64_t>() > std::uint64_t(kLongestCount)
        : aJson.get<std::int64_t>() < 0) {
    return false;
  }
  aValue = std::chrono::microseconds(aJson.get<std::int64_t>());
  return true;
}

bool FromWire(const nlohmann::json& aJson, WireBytes& aValue)
{
  if (!aJson.is_binary()) {
    return false;
  }
  const auto& bytes = aJson.get_binary();
  aValue = WireBytes(std::string(bytes.begin(), bytes.end()));
  return true;
}

bool FromWire(const nlohmann::json& aJson, TargetPhase& aValue)
{
  return ValueOf(kPhases, aJson, aValue);
}

bool FromWire(const nlohmann::json& aJson, WireRole& aValue)
{
  return ValueOf(kRoles, aJson, aValue);
}

} // namespace lacewing
