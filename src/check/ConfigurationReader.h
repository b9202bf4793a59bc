#ifndef CHECK_CONFIGURATIONREADER_H
#define CHECK_CONFIGURATIONREADER_H

#include "check/ReadConfiguration.h"
#include "lacewing/Outcome.h"

#include <string>

namespace lacewing {

/** Reads configurations in the format of a front end. */
class ConfigurationReader
{
public:
  virtual ~ConfigurationReader() = default;

  /** Fails with kInvalidMessage if aText is not in the format at all. */
  virtual Outcome<ReadConfiguration> Read(const std::string& aText) const = 0;
};

} // namespace lacewing

#endif // CHECK_CONFIGURATIONREADER_H
