#ifndef CHECK_READCONFIGURATION_H
#define CHECK_READCONFIGURATION_H

#include "catalog/ConfigurationSpec.h"
#include "check/Finding.h"

#include <optional>

namespace lacewing {

/** A configuration as read from a file. */
struct ReadConfiguration
{
  /** Empty if hosts could not use the configuration at all. */
  std::optional<ConfigurationSpec> spec;
  /** Members that hosts would ignore or replace by a default. */
  Findings findings;
};

} // namespace lacewing

#endif // CHECK_READCONFIGURATION_H
