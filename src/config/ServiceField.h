#ifndef CONFIG_SERVICEFIELD_H
#define CONFIG_SERVICEFIELD_H

#include "config/ServiceConfig.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <variant>

namespace lacewing {

/** One setting of a service, for all that treats settings alike. */
struct ServiceField
{
  using Member = std::variant<SlotCount ServiceConfig::*,
                              ConnectionCount ServiceConfig::*,
                              BasisPoints ServiceConfig::*,
                              std::chrono::milliseconds ServiceConfig::*,
                              std::set<std::string> ServiceConfig::*>;

  /** Name in blobs. */
  const char* name;
  /** Column heading in sheets, and name in messages to operators. */
  const char* heading;
  Member member;
  /** Smallest and largest number, or number of elements. */
  std::uint64_t min;
  std::uint64_t max;
};

constexpr std::uint64_t kMillisecondsPerHour = 3'600'000;

/** All settings of a service except its id and targets. */
inline const std::array<ServiceField, 8>& ServiceFields()
{
  static const std::array<ServiceField, 8> fields{ {
    { "slots", "slots", &ServiceConfig::slots, 1, 4096 },
    { "connections", "connections", &ServiceConfig::connections, 1, 100'000 },
    { "idempotent_methods",
      "idempotent methods",
      &ServiceConfig::idempotentMethods,
      0,
      16 },
    { "deadline",
      "deadline",
      &ServiceConfig::deadline,
      1,
      kMillisecondsPerHour },
    { "measuring_budget",
      "measuring budget",
      &ServiceConfig::measuringBudget,
      0,
      10'000 },
    { "cold_limit", "cold-start limit", &ServiceConfig::coldLimit, 1, 4096 },
    { "cold_time",
      "cold time",
      &ServiceConfig::coldTime,
      0,
      kMillisecondsPerHour },
    { "ramp_time",
      "ramp time",
      &ServiceConfig::rampTime,
      0,
      kMillisecondsPerHour },
  } };
  return fields;
}

/** Whether the text may name an HTTP method: 1 to 32 capital letters. */
bool IsMethodText(const std::string& aText);

} // namespace lacewing

#endif // CONFIG_SERVICEFIELD_H
