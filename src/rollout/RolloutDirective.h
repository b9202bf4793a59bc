#ifndef ROLLOUT_ROLLOUTDIRECTIVE_H
#define ROLLOUT_ROLLOUTDIRECTIVE_H

#include "lacewing/Clock.h"
#include "rollout/OrderId.h"
#include "rollout/RolloutVerdict.h"
#include "wire/WireMember.h"

#include <cstdint>
#include <tuple>

namespace lacewing {

/**
 * What all hosts do about one order. Hosts send it to each other with its age,
 * since their clocks differ.
 */
struct RolloutDirective
{
  OrderId order;
  /** Counts the changes of the share; the higher step replaces a lower one. */
  std::uint32_t step = 0;
  /** Share of the service's requests for the new version, 0 to 10,000. */
  std::uint32_t shareBasisPoints = 0;
  /** A RolloutVerdict; other values are refused. */
  std::uint32_t verdict = 0;
  /** Time since the deciding host confirmed the directive. */
  Duration age{ 0 };
  /**
   * Time since a host first read the order, from which the period runs. Hosts
   * that start later learn it here, since the store does not tell it.
   */
  Duration elapsed{ 0 };

  RolloutVerdict Verdict() const
  {
    return static_cast<RolloutVerdict>(verdict);
  }

  static constexpr auto WireMembers()
  {
    return std::make_tuple(
      WireMember{ "o", &RolloutDirective::order },
      WireMember{ "n", &RolloutDirective::step },
      WireMember{ "p", &RolloutDirective::shareBasisPoints },
      WireMember{ "w", &RolloutDirective::verdict },
      WireMember{ "a", &RolloutDirective::age },
      WireMember{ "e", &RolloutDirective::elapsed });
  }
};

} // namespace lacewing

#endif // ROLLOUT_ROLLOUTDIRECTIVE_H
