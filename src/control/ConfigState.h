#ifndef CONTROL_CONFIGSTATE_H
#define CONTROL_CONFIGSTATE_H

#include "config/BlobMap.h"
#include "config/ConfigHead.h"
#include "control/HeldConfig.h"
#include "lacewing/Outcome.h"

#include <functional>

namespace lacewing {

/** The configuration in force on this host; its version only grows. */
class ConfigState
{
public:
  /** aChanged runs after each new version came into force. */
  explicit ConfigState(std::function<void()> aChanged);

  /** Null before the first configuration. */
  const HeldConfig* InForce() const { return held_.get(); }
  ConfigVersion Version() const;

  /** Objects of aHead whose bytes are not held. */
  std::vector<ObjectName> Missing(const ConfigHead& aHead) const;

  /**
   * Puts aHead in force with the objects that Missing named. Fails with
   * kConflict for a version that is not higher than the own, and with the
   * errors of AssembleConfig; the version in force then stays.
   */
  Outcome<void> Offer(const ConfigHead& aHead, BlobMap aBlobs);

private:
  std::function<void()> changed_;
  std::shared_ptr<const HeldConfig> held_;
};

} // namespace lacewing

#endif // CONTROL_CONFIGSTATE_H
