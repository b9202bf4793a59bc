#ifndef CONTROL_CONFIGCOLLECTOR_H
#define CONTROL_CONFIGCOLLECTOR_H

#include "config/EncodedConfig.h"
#include "lacewing/Outcome.h"
#include "wire/ConfigMessage.h"

#include <optional>

namespace lacewing {

/** Collects the parts of one configuration that a peer sends. */
class ConfigCollector
{
public:
  /**
   * Returns the whole when aPart was the last one. Part 0 starts anew. Fails
   * with kInvalidMessage for a part out of order or an invalid name or hash
   * and with kTooLarge beyond the bounds; what was collected is dropped then.
   */
  Outcome<std::optional<EncodedConfig>> Add(ConfigMessage aPart);

private:
  Outcome<void> Append(ConfigMessage aPart);

  EncodedConfig collected_;
  std::uint32_t nextPart_ = 0;
  std::size_t bytes_ = 0;
};

} // namespace lacewing

#endif // CONTROL_CONFIGCOLLECTOR_H
