#include "fleet/Membership.h"

#include "core/Log.h"

#include <utility>

namespace lacewing {

namespace {

/** The names in aLeft that are not in aRight, separated by spaces. */
std::string NamesOnlyInFirst(const std::set<std::string>& aLeft,
                             const std::set<std::string>& aRight)
{
  std::string text;
  for (const std::string& name : aLeft) {
    if (aRight.count(name) == 0) {
      text += (text.empty() ? "" : " ") + name;
    }
  }
  return text;
}

} // namespace

bool Membership::Update(const PeerExchange& aPeers)
{
  std::set<std::string> members;
  for (const OwnerCandidate& host : aPeers.Candidates()) {
    members.insert(host.host.value());
  }
  for (const ZoneId& zone : aPeers.AliveZones()) {
    members.insert(zone.value());
  }
  const unsigned hosts = aPeers.HostCount();
  const unsigned unresponsive = aPeers.UnresponsiveHosts();
  if (members == members_ && hosts == hosts_ && unresponsive == unresponsive_) {
    return false;
  }
  // Logs only the difference: if all hosts of a zone start at once, complete
  // lists would grow with the square of the number of hosts.
  Log(LogLevel::kInfo,
      "members",
      { { "joined", NamesOnlyInFirst(members, members_) },
        { "left", NamesOnlyInFirst(members_, members) },
        { "hosts", std::to_string(hosts) },
        { "silent", std::to_string(unresponsive) } });
  members_ = std::move(members);
  hosts_ = hosts;
  unresponsive_ = unresponsive;
  return true;
}

} // namespace lacewing
