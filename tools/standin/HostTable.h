#ifndef STANDIN_HOSTTABLE_H
#define STANDIN_HOSTTABLE_H

#include "core/JsonProperty.h"
#include "lacewing/Clock.h"
#include "lacewing/HostId.h"
#include "lacewing/ZoneId.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace lacewing {

/** The platform's host list, which shows each change after a lag. */
class HostTable
{
public:
  struct Host
  {
    std::string address;
    ZoneId zone;
    std::string state = "live";
  };

  explicit HostTable(const Clock& aClock)
    : clock_(aClock)
  {
  }

  /** No host removes the entry. */
  void Change(HostId aId, std::optional<Host> aHost, Duration aLag);

  /** The hosts as the list shows them now. */
  const std::map<HostId, Host>& Shown();

private:
  struct Pending
  {
    TimePoint due;
    HostId id;
    std::optional<Host> host;
  };

  const Clock& clock_;
  std::map<HostId, Host> shown_;
  std::deque<Pending> pending_;
};

inline constexpr std::array<JsonProperty<HostTable::Host>, 3> kHostProperties{ {
  { "address", &HostTable::Host::address },
  { "zone", &HostTable::Host::zone },
  { "state", &HostTable::Host::state },
} };

} // namespace lacewing

#endif // STANDIN_HOSTTABLE_H
