#ifndef LOAD_LOADSETTINGS_H
#define LOAD_LOADSETTINGS_H

#include "core/JsonProperty.h"

#include <array>
#include <cstdint>

namespace lacewing {

/** What an experiment's file says outside its tables. */
struct LoadSettings
{
  std::uint64_t seed = 1;
  /** The entries are targets: paths have no service, answers no outcome. */
  bool direct = false;
  /** Arrivals beyond it are counted and not sent; over all threads. */
  std::uint64_t maxInFlight = 20000;
  /** How long an entry host that refused a connection is avoided. */
  Duration avoid = std::chrono::seconds(1);
  /** Time between two questions to /ready of an entry host. */
  Duration readyPoll = std::chrono::milliseconds(250);
  /** Results are also given for each stretch of this length. */
  Duration slice = std::chrono::seconds(1);
};

inline constexpr std::array<JsonProperty<LoadSettings>, 6> kLoadSettings{ {
  { "seed", &LoadSettings::seed },
  { "direct", &LoadSettings::direct },
  { "max_in_flight", &LoadSettings::maxInFlight },
  { "avoid_ms", &LoadSettings::avoid },
  { "ready_poll_ms", &LoadSettings::readyPoll },
  { "slice_ms", &LoadSettings::slice },
} };

} // namespace lacewing

#endif // LOAD_LOADSETTINGS_H
