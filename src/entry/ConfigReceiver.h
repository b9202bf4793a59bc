#ifndef ENTRY_CONFIGRECEIVER_H
#define ENTRY_CONFIGRECEIVER_H

#include "config/BlobMap.h"
#include "config/LoadedConfig.h"
#include "lacewing/ByteCount.h"
#include "lacewing/Outcome.h"
#include "wire/ConfigMessage.h"
#include "wire/ConfigWantMessage.h"

#include <optional>

namespace lacewing {

/**
 * Collects the parts of a configuration. Only a complete and valid set
 * replaces the one in force, and only with a higher version.
 */
class ConfigReceiver
{
public:
  /**
   * Returns true when the part completed a new configuration, which Current
   * then has. Fails when parts are missing or do not fit; the parts received
   * so far are dropped then.
   */
  Outcome<bool> OnPart(const ConfigMessage& aPart);

  /** Drops the parts of an incomplete set; for a lost connection. */
  void Reset();

  /** The configuration in force; its pointer is null before the first. */
  const LoadedConfig& Current() const { return current_; }

  /** What is held, to be sent to controld. */
  ConfigWantMessage Want() const;

private:
  Outcome<void> Collect(const ConfigMessage& aPart);

  LoadedConfig current_;
  ConfigHead head_;
  BlobMap blobs_;
  ByteCount size_;
  std::uint32_t nextPart_ = 0;
};

} // namespace lacewing

#endif // ENTRY_CONFIGRECEIVER_H
