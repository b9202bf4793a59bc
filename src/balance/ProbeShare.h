#ifndef BALANCE_PROBESHARE_H
#define BALANCE_PROBESHARE_H

#include "balance/ProbeLimits.h"
#include "lacewing/Clock.h"

#include <cstddef>

namespace lacewing {

/** How often an owner probes each of its targets without a limit. */
constexpr Duration kOwnerProbePeriod = std::chrono::milliseconds(200);

/** What a host's share of the probes of one service depends on. */
struct ProbeShare
{
  /** Targets of the service that accept requests. */
  std::size_t targets = 0;
  /** Hosts that may send probes, also those behind a network partition. */
  unsigned hosts = 1;
  /** Hosts that this host knows to be alive, this one included. */
  unsigned alive = 1;
  /** Whether hosts is only a guess, because this host has just started. */
  bool provisional = false;
};

/**
 * Probes per second that all owners of one target send. On each side of a
 * network partition, a target has an owner of its own.
 */
double OwnerProbeRate(const ProbeLimits& aLimits, const ProbeShare& aShare);

/** An owner's probes of a target per second, as a part of the usual ones. */
double OwnerProbeFraction(const ProbeLimits& aLimits, const ProbeShare& aShare);

/** Probes per second that this host may send in searches for a target. */
double SearchProbeRate(const ProbeLimits& aLimits, const ProbeShare& aShare);

} // namespace lacewing

#endif // BALANCE_PROBESHARE_H
