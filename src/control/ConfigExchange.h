#ifndef CONTROL_CONFIGEXCHANGE_H
#define CONTROL_CONFIGEXCHANGE_H

#include "control/ConfigCollector.h"
#include "control/ConfigHistory.h"
#include "control/ConfigParts.h"
#include "control/ConfigState.h"
#include "control/ControlTerms.h"
#include "control/PeerLinks.h"
#include "wire/ConfigWantMessage.h"

#include <map>
#include <optional>

namespace lacewing {

/**
 * Passes configurations between processes: asks a peer that has a higher
 * version, and answers the wants of others, at once or when a newer version
 * than theirs comes into force.
 */
class ConfigExchange
{
public:
  ConfigExchange(const Clock& aClock,
                 const ControlTerms& aTerms,
                 ConfigState& aConfigs,
                 PeerLinks& aLinks);

  /** A controld said which version it has in force. */
  void OnPeerVersion(LinkId aLink, ConfigVersion aVersion);
  void OnWant(LinkId aLink, const ConfigWantMessage& aWant);
  void OnPart(LinkId aLink, ConfigMessage aPart);
  void OnClosed(LinkId aLink);
  /** A new version came into force on this host. */
  void OnChanged();
  void OnTimer();

  /** Configurations of peers that could not be put in force. */
  std::uint64_t Refused() const { return refused_; }

private:
  struct Want
  {
    ConfigVersion version;
    HeldHashes held;
  };

  struct Asked
  {
    LinkId link;
    TimePoint until;
    ConfigCollector collector;
  };

  void Ask();
  void Answer(LinkId aLink, const Want& aWant);

  const Clock& clock_;
  ControlTerms terms_;
  ConfigState& configs_;
  ConfigHistory history_;
  /** Whether the next want has to list the objects that are held. */
  bool listHeld_ = false;
  PeerLinks& links_;
  std::uint64_t refused_ = 0;
  std::map<LinkId, ConfigVersion> versions_;
  /** Wants that wait for a newer version. */
  std::map<LinkId, Want> wants_;
  std::optional<Asked> asked_;
};

} // namespace lacewing

#endif // CONTROL_CONFIGEXCHANGE_H
