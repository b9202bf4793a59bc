#include "fleet/RestartLog.h"

#include "core/Log.h"

#include <string>

namespace lacewing {

namespace {

/** The names of the hosts with aAnnounced, separated by spaces. */
std::string NamesWith(bool aAnnounced,
                      const std::vector<HostRestart>& aRestarts)
{
  std::string text;
  for (const HostRestart& restart : aRestarts) {
    if (restart.announced == aAnnounced) {
      text += (text.empty() ? "" : " ") + restart.host.value();
    }
  }
  return text;
}

} // namespace

void RestartLog::Add(const std::vector<HostRestart>& aRestarts)
{
  for (const HostRestart& restart : aRestarts) {
    ++(restart.announced ? announced_ : unannounced_);
  }
  // One line for all hosts of a step: if those of a zone restart together, each
  // of them would log a line for each of the others.
  for (const bool announced : { false, true }) {
    const std::string hosts = NamesWith(announced, aRestarts);
    if (!hosts.empty()) {
      Log(announced ? LogLevel::kInfo : LogLevel::kWarning,
          "host-restarted",
          { { "host", hosts }, { "announced", announced ? "1" : "0" } });
    }
  }
}

std::uint64_t RestartLog::Count(bool aAnnounced) const
{
  return aAnnounced ? announced_ : unannounced_;
}

} // namespace lacewing
