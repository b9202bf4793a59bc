#ifndef DECISION_SUBSETSELECTOR_H
#define DECISION_SUBSETSELECTOR_H

#include "decision/ServiceSubset.h"
#include "lacewing/ConnectionCount.h"
#include "lacewing/HostId.h"
#include "lacewing/ServiceId.h"

#include <cstddef>
#include <vector>

namespace lacewing {

/**
 * Chooses the targets that one entry host uses of a service: a bounded part
 * that changes little when targets or hosts come and go (rendezvous hashing).
 * The control thread calls it when it builds a snapshot.
 */
class SubsetSelector
{
public:
  /** A host uses about this many targets of a service at most. */
  static constexpr std::size_t kMaxTargets = 64;
  /** A host uses at least this many targets, if the service has them. */
  static constexpr std::size_t kMinTargets = 3;

  /** aHosts are all live entry hosts, the own one included. */
  SubsetSelector(HostId aOwnHost, std::vector<HostId> aHosts);

  /**
   * The own part of aTargets and the connections to each of them, such that
   * the connections of all hosts stay within four fifths of aLimit, which a
   * target accepts in total. A fifth is reserved for hosts that replace
   * others and connect before those have gone. Takes time proportional to
   * hosts times targets.
   */
  ServiceSubset Select(const ServiceId& aService,
                       const std::vector<TargetRoute>& aTargets,
                       ConnectionCount aLimit) const;

private:
  /** For each target the hosts (by index) that use it. */
  std::vector<std::vector<std::size_t>> AssignUsers(
    const ServiceId& aService,
    const std::vector<TargetRoute>& aTargets,
    std::size_t aBudget) const;

  std::vector<HostId> hosts_;
  /** Index of the own host in hosts_. */
  std::size_t own_ = 0;
};

} // namespace lacewing

#endif // DECISION_SUBSETSELECTOR_H
